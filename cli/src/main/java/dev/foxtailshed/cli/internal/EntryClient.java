package dev.foxtailshed.cli.internal;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * A client for the operator API of the entries.
 *
 * <p>Reads fall back to the next entry if one fails; writes are sent to the given entry only. Not
 * thread-safe.
 */
final class EntryClient implements AutoCloseable {

    private static final String API_PATH = "/operator/v1";
    private static final long MAXIMUM_CONNECT_MILLIS = 3_000;
    private static final Gson GSON = new Gson();

    private final HttpClient http;
    private final Settings settings;

    EntryClient(HttpClient http, Settings settings) {
        this.http = http;
        this.settings = settings;
    }

    /** Creates and starts a client. */
    static EntryClient start(Settings settings) {
        HttpClient http = new HttpClient();
        http.setFollowRedirects(false);
        settings.trustStore().ifPresent(path -> http.setSslContextFactory(sslContextFactory(path)));
        http.setConnectTimeout(Math.min(settings.timeoutMillis(), MAXIMUM_CONNECT_MILLIS));
        try {
            http.start();
            // Jetty's handler of status 401 fails on responses without WWW-Authenticate.
            http.getProtocolHandlers().clear();
        } catch (Exception e) {
            throw new IllegalStateException("The HTTP client does not start", e);
        }
        return new EntryClient(http, settings);
    }

    private static SslContextFactory.Client sslContextFactory(String trustStore) {
        SslContextFactory.Client factory = new SslContextFactory.Client();
        factory.setTrustStorePath(trustStore);
        factory.setTrustStoreType("PKCS12");
        return factory;
    }

    /** Returns the base URLs of the entries in the order in which they are tried. */
    List<String> entries() {
        return settings.entries();
    }

    /** Reads a JSON body from the first entry that responds with status 200. */
    <T> Either<Failure, T> get(String pathAndQuery, Class<T> type) {
        return get(pathAndQuery)
                .flatMap(
                        response ->
                                response.as(type)
                                        .<Either<Failure, T>>map(Either::right)
                                        .orElseGet(() -> Either.left(unreadableResponse())));
    }

    /**
     * Reads from the first entry that responds with status 200. A status below 500 ends the search
     * with a failure; after any other error the next entry is tried.
     */
    Either<Failure, EntryResponse> get(String pathAndQuery) {
        String lastError = "";
        for (String entry : settings.entries()) {
            Either<FailedCall, EntryResponse> result =
                    send(entry, HttpMethod.GET, pathAndQuery, null);
            if (result.isLeft()) {
                lastError = result.getLeft().message();
            } else if (result.get().status() == HttpStatus.OK_200) {
                return Either.right(result.get());
            } else if (result.get().status() < HttpStatus.INTERNAL_SERVER_ERROR_500) {
                return Either.left(Failure.badUse(result.get().errorText()));
            } else {
                lastError = entry + " responded with " + result.get().errorText();
            }
        }
        return Either.left(new Failure(ExitCode.NOT_REACHABLE, lastError));
    }

    /** Sends a body to the given entry. */
    Either<FailedCall, EntryResponse> post(String entry, String pathAndQuery, byte[] body) {
        return send(entry, HttpMethod.POST, pathAndQuery, body);
    }

    @Override
    public void close() {
        try {
            http.stop();
        } catch (Exception e) {
            throw new IllegalStateException("The HTTP client does not stop", e);
        }
    }

    private Either<FailedCall, EntryResponse> send(
            String entry, HttpMethod method, String pathAndQuery, byte[] body) {
        Request request =
                http.newRequest(entry + API_PATH + pathAndQuery)
                        .method(method)
                        .headers(h -> h.put("Authorization", "Bearer " + settings.key()))
                        .headers(h -> h.put("X-Operator", settings.operator()))
                        .timeout(settings.timeoutMillis(), TimeUnit.MILLISECONDS);
        if (body != null) {
            request.body(new BytesRequestContent("application/json", body));
        }
        try {
            ContentResponse response = request.send();
            String version = response.getHeaders().get("X-Manifest-Version");
            return Either.right(
                    new EntryResponse(
                            response.getStatus(),
                            Optional.ofNullable(version),
                            response.getContent()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(new FailedCall(true, "interrupted"));
        } catch (TimeoutException e) {
            return Either.left(new FailedCall(true, entry + " did not respond in time"));
        } catch (ExecutionException e) {
            return Either.left(failedCall(entry, e.getCause()));
        }
    }

    private static FailedCall failedCall(String entry, Throwable cause) {
        boolean connected =
                !(cause instanceof ConnectException || cause instanceof NoRouteToHostException);
        String reason = connected ? " returned no response: " : " is not reachable: ";
        return new FailedCall(connected, entry + reason + cause);
    }

    private static Failure unreadableResponse() {
        String message = "the response of the entry is not JSON of the expected form";
        return new Failure(ExitCode.NOT_REACHABLE, message);
    }

    /**
     * A call that ended without a response.
     *
     * @param mayHaveBeenReceived whether the entry may have received it
     * @param message the reason in one sentence
     */
    record FailedCall(boolean mayHaveBeenReceived, String message) {}

    /**
     * A response of an entry.
     *
     * @param status the HTTP status
     * @param manifestVersion the version of the manifest in the body, empty for other bodies
     * @param body the raw body
     */
    record EntryResponse(int status, Optional<String> manifestVersion, byte[] body) {

        /** Parses the body as JSON; empty if it is not of the given type. */
        <T> Optional<T> as(Class<T> type) {
            try {
                return Optional.ofNullable(GSON.fromJson(text(), type));
            } catch (JsonParseException e) {
                return Optional.empty();
            }
        }

        /** Returns the body as text. */
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Returns status, error code and message as one line of text. */
        String errorText() {
            return as(OperatorMessages.ErrorBody.class)
                    .flatMap(OperatorMessages.ErrorBody::detail)
                    .map(d -> status + " " + d.code() + ": " + d.message())
                    .orElse("status " + status);
        }
    }
}
