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
 * Serves the operators' calls under <code>/operator/v1/</code>.
 *
 * <p>Thread-safe. A call without the shared key is refused, whatever its path.
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
     * @param key the key that operators hold
     * @param submitter accepts manifests
     * @param store reads manifests and their history
     * @param holder has the manifest in force here, for reads while the store is out
     * @param inForceReport tells what is in force at each instance
     * @param statusReport tells the state of this instance
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
            case "POST manifest" -> submit(request, response, callback);
            case "GET manifest" -> document(request, response, callback);
            case "GET history" -> history(request, response, callback);
            case "GET in-force" -> inForce(request, response, callback);
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

    private void submit(Request request, Response response, Callback callback) {
        Fields query = Request.extractQueryParameters(request);
        Optional<OptionalLong> expected = versionOf(query.getValue("expectVersion"));
        if (expected.isEmpty()) {
            invalid(response, "expectVersion: expected an integer", callback);
            return;
        }
        String given = query.getValue("submissionId");
        String submissionId = given == null ? UUID.randomUUID().toString() : given;
        BodyAccumulator.read(request, ManifestReader.MAXIMUM_SIZE_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null || body.isEmpty()) {
                                invalid(
                                        response,
                                        "the document is too large or broke off",
                                        callback);
                                return;
                            }
                            Submission submission =
                                    new Submission(
                                            body.get(),
                                            operatorOf(request),
                                            Request.getRemoteAddr(request),
                                            submissionId,
                                            expected.get());
                            submitter
                                    .submit(submission)
                                    .thenAccept(
                                            outcome ->
                                                    SubmitAnswer.write(
                                                            response,
                                                            outcome,
                                                            submissionId,
                                                            callback));
                        });
    }

    private void document(Request request, Response response, Callback callback) {
        Optional<OptionalLong> version =
                versionOf(Request.extractQueryParameters(request).getValue("version"));
        if (version.isEmpty()) {
            invalid(response, "version: expected an integer", callback);
        } else if (version.get().isPresent()) {
            writeDocument(version.get().getAsLong(), response, callback);
        } else {
            store.history(1)
                    .thenAccept(
                            newest -> {
                                if (newest.isRight() && !newest.get().isEmpty()) {
                                    long newestVersion = newest.get().get(0).entry().version();
                                    writeDocument(newestVersion, response, callback);
                                } else if (newest.isLeft() && holder.version() > 0) {
                                    writeHeld(response, callback);
                                } else {
                                    failedRead(newest.swap().toJavaOptional(), response, callback);
                                }
                            });
        }
    }

    private void writeDocument(long version, Response response, Callback callback) {
        store.document(version, SEARCH_LIMIT)
                .thenAccept(
                        read -> {
                            if (read.isRight() && read.get().isPresent()) {
                                write(version, read.get().get(), response, callback);
                            } else if (read.isLeft() && holder.version() == version) {
                                writeHeld(response, callback);
                            } else {
                                failedRead(read.swap().toJavaOptional(), response, callback);
                            }
                        });
    }

    private void writeHeld(Response response, Callback callback) {
        AppliedManifest held = holder.applied();
        write(held.version(), held.document(), response, callback);
    }

    private static void write(long version, byte[] document, Response response, Callback callback) {
        response.getHeaders().put(VERSION_HEADER, Long.toString(version));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(document), callback);
    }

    private void history(Request request, Response response, Callback callback) {
        Optional<OptionalLong> limit =
                versionOf(Request.extractQueryParameters(request).getValue("limit"));
        if (limit.isEmpty()) {
            invalid(response, "limit: expected an integer", callback);
            return;
        }
        int count = (int) Math.min(SEARCH_LIMIT, limit.get().orElse(HISTORY_LIMIT));
        store.history(count).thenAccept(read -> writeHistory(read, response, callback));
    }

    private static void writeHistory(
            Either<StoreFailure, List<HistoryRecord>> read, Response response, Callback callback) {
        if (read.isLeft()) {
            failedRead(Optional.of(read.getLeft()), response, callback);
        } else {
            ErrorBody.writeJson(response, HistoryReport.toJson(read.get()), callback);
        }
    }

    private void inForce(Request request, Response response, Callback callback) {
        boolean local = Request.extractQueryParameters(request).getValue("local") != null;
        inForceReport
                .toJson(local)
                .thenAccept(json -> ErrorBody.writeJson(response, json, callback));
    }

    private static void failedRead(
            Optional<StoreFailure> failure, Response response, Callback callback) {
        RequestFailure told =
                failure.map(
                                store ->
                                        RequestFailure.notRun(
                                                ErrorCode.STORE_UNAVAILABLE, store.message()))
                        .orElse(
                                RequestFailure.notRun(
                                        ErrorCode.NOT_FOUND, "there is no such manifest"));
        ErrorBody.write(response, told, callback);
    }

    private static void invalid(Response response, String message, Callback callback) {
        RequestFailure failure =
                RequestFailure.of(Verdict.NOT_RUN, ErrorCode.INVALID_REQUEST, message);
        ErrorBody.write(response, failure, callback);
    }

    private static String operatorOf(Request request) {
        String name = request.getHeaders().get(OPERATOR_HEADER);
        return name == null ? "unknown" : name;
    }

    /** Parses a number that may be left out; nothing at all if it is no number. */
    private static Optional<OptionalLong> versionOf(String text) {
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
