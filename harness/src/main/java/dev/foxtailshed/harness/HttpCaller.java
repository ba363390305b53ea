package dev.foxtailshed.harness;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

/** A plain-text HTTP/1.1 client for test code. A request times out after 60 s. Thread-safe. */
public final class HttpCaller {

    private static final int HTTP_OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * An HTTP response with its complete body.
     *
     * @param status the HTTP status code
     * @param body the body, decoded as UTF-8
     * @param verdict the value of X-Foxtailshed-Verdict, empty if the header is absent
     * @param requestId the value of X-Foxtailshed-Request, empty if the header is absent
     */
    public record Response(int status, String body, String verdict, String requestId) {

        /** Parses the body as a JSON object. */
        public JsonObject json() {
            return JsonParser.parseString(body).getAsJsonObject();
        }

        /**
         * Returns the error code in the body.
         *
         * @return the code, empty if the response is not an error in JSON
         */
        public String errorCode() {
            return status < 400 || !body.startsWith("{")
                    ? ""
                    : json().getAsJsonObject("error").get("code").getAsString();
        }
    }

    /**
     * Sends a request and waits for the complete response.
     *
     * @param path path and query
     * @param body the body, empty for none
     * @throws IOException if the connection breaks or the response is incomplete
     */
    public Response call(
            String method,
            InetSocketAddress address,
            String path,
            Map<String, String> headers,
            String body)
            throws IOException {
        try {
            HttpResponse<String> response =
                    client.send(
                            buildRequest(method, address, path, headers, body),
                            HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
            return new Response(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("X-Foxtailshed-Verdict").orElse(""),
                    response.headers().firstValue("X-Foxtailshed-Request").orElse(""));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Sends a GET request and returns the body as bytes.
     *
     * @param path path and query
     * @throws IOException if the connection breaks or the status is not 200
     */
    public byte[] readBytes(InetSocketAddress address, String path, Map<String, String> headers)
            throws IOException {
        HttpResponse<InputStream> response = open("GET", address, path, headers, "");
        try (InputStream body = response.body()) {
            if (response.statusCode() != HTTP_OK) {
                throw new IOException(path + " returned status " + response.statusCode());
            }
            return body.readAllBytes();
        }
    }

    /**
     * Sends a request and returns once the response headers have arrived.
     *
     * @param path path and query
     * @param body the body, empty for none
     * @return the response, whose body is a stream; closing the stream closes the connection
     * @throws IOException if the connection breaks
     */
    public HttpResponse<InputStream> open(
            String method,
            InetSocketAddress address,
            String path,
            Map<String, String> headers,
            String body)
            throws IOException {
        try {
            return client.send(
                    buildRequest(method, address, path, headers, body),
                    HttpResponse.BodyHandlers.ofInputStream());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static HttpRequest buildRequest(
            String method,
            InetSocketAddress address,
            String path,
            Map<String, String> headers,
            String body) {
        String url =
                "http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + path;
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create(url))
                        .timeout(TIMEOUT)
                        .method(
                                method,
                                body.isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(builder::header);
        return builder.build();
    }
}
