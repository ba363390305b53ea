package dev.foxtailshed.daemon.internal.platform;

import dev.foxtailshed.daemon.hosting.StoreCalls;
import dev.foxtailshed.daemon.hosting.StoreCalls.StoreResponse;
import dev.foxtailshed.daemon.hosting.StoreFailure;
import io.vavr.control.Either;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** A client of the platform's object API over HTTP. Thread-safe. */
public final class HttpObjectStore implements ObjectStore {

    private static final String INSTANCE_HEADER = "X-Instance-Id";
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;

    private final HttpClient httpClient;
    private final URI baseUrl;
    private final String instanceName;
    private final long timeoutMillis;

    /**
     * Creates the client.
     *
     * @param httpClient a started client
     * @param baseUrl the base URL of the platform
     * @param instanceName the name of this instance, sent with each call so that the platform can
     *     count its calls
     * @param timeoutMillis the timeout of a call, in addition to the time that a watch waits
     */
    public HttpObjectStore(
            HttpClient httpClient, URI baseUrl, String instanceName, long timeoutMillis) {
        this.httpClient = httpClient;
        this.baseUrl = baseUrl;
        this.instanceName = instanceName;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> get(String name) {
        return send(request(HttpMethod.GET, objectPath(name), 0), HttpObjectStore::toObject);
    }

    @Override
    public CompletableFuture<Either<StoreFailure, Optional<StoredObject>>> watch(
            String name, long newerThan, long waitMillis) {
        String query = "?newerThan=" + newerThan + "&timeoutMillis=" + waitMillis;
        Request request = request(HttpMethod.GET, objectPath(name) + query, waitMillis);
        return send(request, HttpObjectStore::toObject);
    }

    @Override
    public CompletableFuture<Either<StoreFailure, PutOutcome>> put(
            String name, byte[] body, OptionalLong expectedVersion) {
        Request request = request(HttpMethod.PUT, objectPath(name), 0);
        if (expectedVersion.isPresent()) {
            String tag = '"' + Long.toString(expectedVersion.getAsLong()) + '"';
            request.headers(headers -> headers.put(HttpHeader.IF_MATCH, tag));
        } else {
            request.headers(headers -> headers.put(HttpHeader.IF_NONE_MATCH, "*"));
        }
        request.body(new BytesRequestContent("application/octet-stream", body));
        return send(request, HttpObjectStore::toPutOutcome);
    }

    @Override
    public CompletableFuture<Either<StoreFailure, ObjectListing>> list(
            String prefix, String after, int limit) {
        String query = "?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
        return send(
                request(HttpMethod.GET, "/v1/list" + query, 0),
                answer -> PlatformJson.toListing(answer.body()));
    }

    @Override
    public CompletableFuture<Either<StoreFailure, List<PlatformInstance>>> instances() {
        return send(
                request(HttpMethod.GET, "/v1/instances", 0),
                answer -> PlatformJson.toInstances(answer.body()));
    }

    private Request request(HttpMethod method, String path, long additionalTimeoutMillis) {
        return httpClient
                .newRequest(baseUrl + path)
                .method(method)
                .headers(headers -> headers.put(INSTANCE_HEADER, instanceName))
                .timeout(timeoutMillis + additionalTimeoutMillis, TimeUnit.MILLISECONDS);
    }

    private static <T> CompletableFuture<Either<StoreFailure, T>> send(
            Request request, Function<StoreResponse, T> reader) {
        return StoreCalls.send(
                request,
                MAXIMUM_BODY_BYTES,
                answer ->
                        StoreCalls.serverError(answer)
                                .<Either<StoreFailure, T>>map(Either::left)
                                .orElseGet(() -> Either.right(reader.apply(answer))));
    }

    private static Optional<StoredObject> toObject(StoreResponse answer) {
        return switch (answer.response().getStatus()) {
            case HttpStatus.OK_200 ->
                    Optional.of(new StoredObject(versionOf(answer.response()), answer.body()));
            case HttpStatus.NOT_FOUND_404, HttpStatus.NOT_MODIFIED_304 -> Optional.empty();
            default -> throw unexpectedStatus(answer.response());
        };
    }

    private static PutOutcome toPutOutcome(StoreResponse answer) {
        return switch (answer.response().getStatus()) {
            case HttpStatus.OK_200, HttpStatus.CREATED_201 ->
                    new PutOutcome.Stored(versionOf(answer.response()));
            case HttpStatus.PRECONDITION_FAILED_412 -> new PutOutcome.Conflict();
            default -> throw unexpectedStatus(answer.response());
        };
    }

    private static long versionOf(Response response) {
        String tag = response.getHeaders().get(HttpHeader.ETAG);
        if (tag == null || tag.length() < 3) {
            throw new IllegalArgumentException("expected a version in the ETag header");
        }
        return Long.parseLong(tag.substring(1, tag.length() - 1));
    }

    private static IllegalArgumentException unexpectedStatus(Response response) {
        return new IllegalArgumentException("unexpected status " + response.getStatus());
    }

    private static String objectPath(String name) {
        return "/v1/objects/" + name;
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
