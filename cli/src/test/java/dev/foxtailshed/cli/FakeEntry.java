package dev.foxtailshed.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** A fake entry that returns scripted responses in order; the last one is repeated. */
final class FakeEntry implements AutoCloseable {

    /** A placeholder in response bodies, replaced by the submission id of the call. */
    static final String SUBMISSION_ID = "SUBMISSION-ID";

    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);
    private final Deque<ScriptedResponse> script = new ArrayDeque<>();
    private final List<Call> calls = new CopyOnWriteArrayList<>();

    FakeEntry(ScriptedResponse... responses) throws Exception {
        script.addAll(List.of(responses));
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new ScriptHandler());
        server.start();
    }

    String address() {
        return "http://127.0.0.1:" + connector.getLocalPort();
    }

    List<Call> calls() {
        return calls;
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("The server does not stop", e);
        }
    }

    private synchronized ScriptedResponse nextResponse() {
        return script.size() > 1 ? script.poll() : script.peek();
    }

    /** A scripted response. */
    record ScriptedResponse(int status, String body, String version) {

        /** The entry receives the call and closes the connection without a response. */
        static final ScriptedResponse LOST = new ScriptedResponse(0, "", "");

        static ScriptedResponse of(int status, String body) {
            return new ScriptedResponse(status, body, "");
        }
    }

    /** A call that the entry received. */
    record Call(String method, String path, String key, String operator, String body) {
        String submissionId() {
            return path.replaceFirst(".*submissionId=([^&]*).*", "$1");
        }
    }

    private final class ScriptHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            Call call =
                    new Call(
                            request.getMethod(),
                            request.getHttpURI().getPathQuery(),
                            request.getHeaders().get("Authorization"),
                            request.getHeaders().get("X-Operator"),
                            Content.Source.asString(request, StandardCharsets.UTF_8));
            calls.add(call);
            ScriptedResponse scripted = nextResponse();
            if (scripted.equals(ScriptedResponse.LOST)) {
                request.getConnectionMetaData().getConnection().getEndPoint().close();
                callback.succeeded();
                return true;
            }
            response.setStatus(scripted.status());
            if (!scripted.version().isEmpty()) {
                response.getHeaders().put("X-Manifest-Version", scripted.version());
            }
            String body = scripted.body().replace(SUBMISSION_ID, call.submissionId());
            Content.Sink.write(response, true, body, callback);
            return true;
        }
    }
}
