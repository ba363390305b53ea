package dev.foxtailshed.kernel.direct;

/** Decides which statuses of backend servers may be the final response to a caller. */
public final class ResponseStatus {

    private static final int FIRST_FINAL = 200;
    private static final int LAST_FINAL = 599;

    private ResponseStatus() {}

    /**
     * Returns whether a status may end a request.
     *
     * <p>Interim responses (1xx) do not, not even 101, since no request asks for another protocol.
     *
     * @param status the status of a response's head
     * @return true for 200 to 599
     */
    public static boolean isFinal(int status) {
        return status >= FIRST_FINAL && status <= LAST_FINAL;
    }
}
