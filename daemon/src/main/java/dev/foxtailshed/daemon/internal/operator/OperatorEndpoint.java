package dev.foxtailshed.daemon.internal.operator;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.http.BodyAccumulator;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.daemon.internal.manifest.AppliedManifest;
import dev.foxtailshed.daemon.internal.manifest.HistoryRecord;
import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.manifest.ManifestStore;
import dev.foxtailshed.daemon.internal.manifest.ManifestSubmitter;
import dev.foxtailshed.daemon.internal.manifest.Submission;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.manifest.ManifestReader;
import dev.foxtailshed.wire.SharedKey;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Serves the operator API under <code>/operator/v1/</code>.
 *
 * <p>A request without the shared key is refused, even if its path does not exist. Thread-safe.
 */
public final class OperatorEndpoint implements Endpoint {

    private static final String PREFIX = "/operator/v1/";
    private static final String OPERATOR_HEADER = "X-Operator";
    private static final String VERSION_HEADER = "X-Manifest-Version";
    private static final String BEARER = "Bearer ";
    private static final int HISTORY_LIMIT = 100;
    private static final int SEARCH_LIMIT = 1_000;

    private final SharedKey key;
    private final ManifestSubmitter submitter;
    private final ManifestStore store;
    private final ManifestHolder holder;
    private final InForceReport inForceReport;
    private final StatusReport statusReport;

    /**
     * Creates the endpoint.
     *
     * @param key the key that requests must present
     * @param submitter validates and stores submitted manifests
     * @param store reads manifests and their history
     * @param holder the manifest in force here, which is served while the store is unavailable
     * @param inForceReport reports the version in force at each instance
     * @param statusReport reports the state of this instance
     */
    public OperatorEndpoint(
            SharedKey key,
            ManifestSubmitter submitter,
            ManifestStore store,
            ManifestHolder holder,
            InForceReport inForceReport,
            StatusReport statusReport) {
        this.key = key;
        this.submitter = submitter;
        this.store = store;
        this.holder = holder;
        this.inForceReport = inForceReport;
        this.statusReport = statusReport;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        if (!isAuthorized(request)) {
            RequestFailure failure =
                    RequestFailure.notRun(
                            ErrorCode.UNAUTHORIZED, "expected Authorization: Bearer KEY");
            ErrorBody.write(response, failure, callback);
            return true;
        }
        return serve(
                request.getMethod() + " " + path.substring(PREFIX.length()),
                request,
                response,
                callback);
    }

    private boolean serve(String call, Request request, Response response, Callback callback) {
        switch (call) {
            case "POST manifest" -> submitManifest(request, response, callback);
            case "GET manifest" -> sendDocument(request, response, callback);
            case "GET history" -> sendHistory(request, response, callback);
            case "GET in-force" -> sendInForce(request, response, callback);
            case "GET status" -> ErrorBody.writeJson(response, statusReport.toJson(), callback);
            default -> {
                return false;
            }
        }
        return true;
    }

    private boolean isAuthorized(Request request) {
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        return header != null
                && header.startsWith(BEARER)
                && key.matches(header.substring(BEARER.length()));
    }

    private void submitManifest(Request request, Response response, Callback callback) {
        Fields query = Request.extractQueryParameters(request);
        Optional<OptionalLong> expected = parseOptionalLong(query.getValue("expectVersion"));
        if (expected.isEmpty()) {
            writeInvalidRequest(response, "expectVersion: expected an integer", callback);
            return;
        }
        String given = query.getValue("submissionId");
        String submissionId = given == null ? UUID.randomUUID().toString() : given;
        BodyAccumulator.read(request, ManifestReader.MAXIMUM_SIZE_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null || body.isEmpty()) {
                                writeInvalidRequest(
                                        response,
                                        "the document is too large or incomplete",
                                        callback);
                                return;
                            }
                            Submission submission =
                                    new Submission(
                                            body.get(),
                                            operatorName(request),
                                            Request.getRemoteAddr(request),
                                            submissionId,
                                            expected.get());
                            submitter
                                    .submit(submission)
                                    .thenAccept(
                                            outcome ->
                                                    SubmitResponseWriter.write(
                                                            response,
                                                            outcome,
                                                            submissionId,
                                                            callback));
                        });
    }

    private void sendDocument(Request request, Response response, Callback callback) {
        Optional<OptionalLong> version =
                parseOptionalLong(Request.extractQueryParameters(request).getValue("version"));
        if (version.isEmpty()) {
            writeInvalidRequest(response, "version: expected an integer", callback);
        } else if (version.get().isPresent()) {
            sendVersion(version.get().getAsLong(), response, callback);
        } else {
            store.history(1)
                    .thenAccept(
                            newest -> {
                                if (newest.isRight() && !newest.get().isEmpty()) {
                                    long newestVersion = newest.get().get(0).entry().version();
                                    sendVersion(newestVersion, response, callback);
                                } else if (newest.isLeft() && holder.version() > 0) {
                                    writeDocumentInForce(response, callback);
                                } else {
                                    writeReadFailure(
                                            newest.swap().toJavaOptional(), response, callback);
                                }
                            });
        }
    }

    private void sendVersion(long version, Response response, Callback callback) {
        store.document(version, SEARCH_LIMIT)
                .thenAccept(
                        read -> {
                            if (read.isRight() && read.get().isPresent()) {
                                writeDocument(version, read.get().get(), response, callback);
                            } else if (read.isLeft() && holder.version() == version) {
                                writeDocumentInForce(response, callback);
                            } else {
                                writeReadFailure(read.swap().toJavaOptional(), response, callback);
                            }
                        });
    }

    private void writeDocumentInForce(Response response, Callback callback) {
        AppliedManifest manifestInForce = holder.applied();
        writeDocument(manifestInForce.version(), manifestInForce.document(), response, callback);
    }

    private static void writeDocument(
            long version, byte[] document, Response response, Callback callback) {
        response.getHeaders().put(VERSION_HEADER, Long.toString(version));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(document), callback);
    }

    private void sendHistory(Request request, Response response, Callback callback) {
        Optional<OptionalLong> limit =
                parseOptionalLong(Request.extractQueryParameters(request).getValue("limit"));
        if (limit.isEmpty()) {
            writeInvalidRequest(response, "limit: expected an integer", callback);
            return;
        }
        int count = (int) Math.min(SEARCH_LIMIT, limit.get().orElse(HISTORY_LIMIT));
        store.history(count).thenAccept(read -> writeHistory(read, response, callback));
    }

    private static void writeHistory(
            Either<StoreFailure, List<HistoryRecord>> read, Response response, Callback callback) {
        if (read.isLeft()) {
            writeReadFailure(Optional.of(read.getLeft()), response, callback);
        } else {
            ErrorBody.writeJson(response, HistoryReport.toJson(read.get()), callback);
        }
    }

    private void sendInForce(Request request, Response response, Callback callback) {
        boolean local = Request.extractQueryParameters(request).getValue("local") != null;
        inForceReport
                .toJson(local)
                .thenAccept(json -> ErrorBody.writeJson(response, json, callback));
    }

    private static void writeReadFailure(
            Optional<StoreFailure> failure, Response response, Callback callback) {
        RequestFailure requestFailure =
                failure.map(
                                store ->
                                        RequestFailure.notRun(
                                                ErrorCode.STORE_UNAVAILABLE, store.message()))
                        .orElse(
                                RequestFailure.notRun(
                                        ErrorCode.NOT_FOUND, "there is no such manifest"));
        ErrorBody.write(response, requestFailure, callback);
    }

    private static void writeInvalidRequest(Response response, String message, Callback callback) {
        RequestFailure failure =
                RequestFailure.of(Verdict.NOT_RUN, ErrorCode.INVALID_REQUEST, message);
        ErrorBody.write(response, failure, callback);
    }

    private static String operatorName(Request request) {
        String name = request.getHeaders().get(OPERATOR_HEADER);
        return name == null ? "unknown" : name;
    }

    /** Parses an optional integer; returns empty if the text is given but not an integer. */
    private static Optional<OptionalLong> parseOptionalLong(String text) {
        if (text == null) {
            return Optional.of(OptionalLong.empty());
        }
        try {
            return Optional.of(OptionalLong.of(Long.parseLong(text)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
