package dev.foxtailshed.daemon.internal.sidecar;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** A backend server whose response depends on the path or the prompt. */
final class TestBackend extends Handler.Abstract {

    static final String TOKEN_EVENT =
            "data: {\"choices\":[{\"text\":\" w€\",\"finish_reason\":null}]}\n\n";
    static final String LAST_EVENTS =
            "data: {\"choices\":[{\"text\":\" end\",\"finish_reason\":\"stop\"}],"
                    + "\"usage\":{\"prompt_tokens\":9,"
                    + "\"prompt_tokens_details\":{\"cached_tokens\":3}}}\r\n\r\n"
                    + "data: [DONE]\n\n";

    final List<String> receivedRequests = new CopyOnWriteArrayList<>();
    final AtomicInteger cancelFailures = new AtomicInteger();
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);

    TestBackend() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(this);
        server.start();
    }

    int port() {
        return connector.getLocalPort();
    }

    void close() throws Exception {
        server.stop();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String body = Content.Source.asString(request, StandardCharsets.UTF_8);
        String path = request.getHttpURI().getPathQuery();
        String id = request.getHeaders().get("X-Request-Id");
        receivedRequests.add(request.getMethod() + " " + path + " " + id + " " + body);
        if (path.equals("/v1/cancel")) {
            boolean fails = cancelFailures.getAndDecrement() > 0;
            answer(response, callback, fails ? 500 : 200, "{}");
        } else if (path.equals("/v1/requests")) {
            String held = "{\"requests\":[{\"request_id\":\"a-1-0\",\"phase\":\"decode\"}]}";
            answer(response, callback, 200, held);
        } else if (path.equals("/v1/completions")) {
            complete(request, response, callback, body);
        } else {
            serve(request, response, callback, path + "|" + body);
        }
        return true;
    }

    private void complete(Request request, Response response, Callback callback, String body) {
        if (body.contains("refuse-")) {
            int status = Integer.parseInt(body.replaceAll("(?s).*refuse-(\\d+).*", "$1"));
            answer(response, callback, status, "no");
        } else if (body.contains("do_remote_decode")) {
            answer(
                    response,
                    callback,
                    200,
                    "{\"id\":\"x\",\"kv_transfer_params\":{\"handle\":\"h\",\"source_url\":\"u\","
                            + "\"size_bytes\":70},\"usage\":{\"prompt_tokens\":9,"
                            + "\"prompt_tokens_details\":{\"cached_tokens\":3}}}");
        } else if (body.contains("break-off")) {
            closeMidResponse(request, response, TOKEN_EVENT);
        } else if (body.contains("hang")) {
            response.write(false, utf8(TOKEN_EVENT), Callback.NOOP);
        } else {
            String end = body.contains("no-end-mark") ? "" : LAST_EVENTS;
            answer(response, callback, 200, TOKEN_EVENT + TOKEN_EVENT + end);
        }
    }

    private void serve(Request request, Response response, Callback callback, String echo) {
        if (echo.startsWith("/break")) {
            closeMidResponse(request, response, echo);
        } else if (echo.startsWith("/drop")) {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
        } else if (echo.startsWith("/status/")) {
            int status = Integer.parseInt(echo.substring(8, 11));
            answer(response, callback, status, "no");
        } else if (echo.startsWith("/events/")) {
            sendEvents(response, callback, echo.substring("/events/".length()));
        } else if (echo.startsWith("/large")) {
            answer(response, callback, 200, "x".repeat(4 << 20));
        } else {
            response.getHeaders().put("X-Kept", "1");
            response.getHeaders().put("X-Hop", "1");
            response.getHeaders().put(HttpHeader.CONNECTION, "X-Hop");
            response.getHeaders().put("Set-Cookie", "caller=one");
            boolean cookie = request.getHeaders().contains(HttpHeader.COOKIE);
            boolean hop = request.getHeaders().contains("X-Private-Hop");
            answer(response, callback, 302, echo + "|" + cookie + hop);
        }
    }

    /** Sends an event stream that ends before, between or inside its events. */
    private static void sendEvents(Response response, Callback callback, String variant) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        String events = variant.contains("none") ? "" : "data: a\n\n";
        answer(response, callback, 200, events + (variant.contains("inside") ? "data: b" : ""));
    }

    private static void closeMidResponse(Request request, Response response, String start) {
        response.write(
                false,
                utf8(start),
                Callback.from(
                        () ->
                                request.getConnectionMetaData()
                                        .getConnection()
                                        .getEndPoint()
                                        .close()));
    }

    private static void answer(Response response, Callback callback, int status, String body) {
        response.setStatus(status);
        response.write(true, utf8(body), callback);
    }

    private static ByteBuffer utf8(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
