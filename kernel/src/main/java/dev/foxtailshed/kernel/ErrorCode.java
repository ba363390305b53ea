package dev.foxtailshed.kernel;

/** The stable codes of the errors that are reported to callers and operators. */
public enum ErrorCode {
    /** The request is malformed. */
    INVALID_REQUEST("invalid_request", 400),
    /** The caller or operator presented no valid key. */
    UNAUTHORIZED("unauthorized", 401),
    /** No deployment or route of the manifest matches. */
    NOT_FOUND("not_found", 404),
    /** The idempotency key was used before with a different body. */
    IDEMPOTENCY_KEY_REUSED("idempotency_key_reused", 422),
    /** A request with the same idempotency key is in flight or its outcome is unknown. */
    IDEMPOTENCY_KEY_IN_USE("idempotency_key_in_use", 409),
    /** The manifest is not the successor of the one in force, or the entry applies an older one. */
    VERSION_CONFLICT("version_conflict", 409),
    /** The body exceeds its limit. */
    TOO_LARGE("too_large", 413),
    /** The request cannot meet its target, or all queues are full. */
    OVERLOADED("overloaded", 429),
    /** The caller's workspace has no credit left. */
    QUOTA_EXCEEDED("quota_exceeded", 429),
    /** The request crashed the backend servers that ran it. */
    SUSPECT_REFUSED("suspect_refused", 422),
    /** The request, or a part of its prompt, crashes the servers that begin to answer it. */
    REQUEST_BLOCKED("request_blocked", 503),
    /** No backend server is reachable. */
    NO_SERVER("no_server", 503),
    /** No manifest is in force at this instance. */
    NO_MANIFEST("no_manifest", 503),
    /** The configuration of the request's route, or of its service, cannot be used. */
    ROUTE_UNUSABLE("route_unusable", 503),
    /** The configuration of the caller's workspace cannot be used. */
    WORKSPACE_UNUSABLE("workspace_unusable", 503),
    /** The instance is shutting down. */
    DRAINING("draining", 503),
    /** The platform's object API is unavailable. */
    STORE_UNAVAILABLE("store_unavailable", 503),
    /** The outcome of a change or of a request could not be determined. */
    OUTCOME_UNKNOWN("outcome_unknown", 504),
    /** The deadline passed. */
    TIMEOUT("timeout", 504),
    /** The connection to the backend server broke. */
    CONNECTION_LOST("connection_lost", 502),
    /** The backend server answered with an error. */
    BACKEND_ERROR("backend_error", 502),
    /** The backend server crashed while it ran the request. */
    BACKEND_CRASHED("backend_crashed", 502),
    /** The answer ended before it was complete. */
    INCOMPLETE_ANSWER("incomplete_answer", 502),
    /** The caller closed the connection. */
    CANCELLED("cancelled", 499),
    /** An internal error of the router. */
    INTERNAL("internal", 500);

    private final String label;
    private final int httpStatus;

    ErrorCode(String label, int httpStatus) {
        this.label = label;
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the code as reported to callers.
     *
     * @return the stable lower-case code
     */
    public String label() {
        return label;
    }

    /**
     * Returns the HTTP status of the code.
     *
     * @return the HTTP status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Finds a code by its label.
     *
     * @param label the label as sent between processes
     * @return the code, or {@link #INTERNAL} for an unknown label, such as one of a newer version
     */
    public static ErrorCode ofLabel(String label) {
        for (ErrorCode code : values()) {
            if (code.label.equals(label)) {
                return code;
            }
        }
        return INTERNAL;
    }
}
