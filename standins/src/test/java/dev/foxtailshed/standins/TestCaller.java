package dev.foxtailshed.standins;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.util.component.LifeCycle;

/** An HTTP client that calls stand-ins in tests. */
final class TestCaller implements AutoCloseable {

    private final HttpClient client = new HttpClient();

    TestCaller() throws Exception {
        client.start();
    }

    Request request(InetSocketAddress to, String method, String pathAndQuery, String body) {
        String url = "http://" + to.getHostString() + ":" + to.getPort() + pathAndQuery;
        return client.newRequest(url).method(method).body(new StringRequestContent(body));
    }

    ContentResponse send(InetSocketAddress to, String method, String pathAndQuery, String body)
            throws Exception {
        return request(to, method, pathAndQuery, body).send();
    }

    String get(InetSocketAddress to, String pathAndQuery) throws Exception {
        return send(to, "GET", pathAndQuery, "").getContentAsString();
    }

    CompletableFuture<ContentResponse> sendAsync(Request request) {
        return new CompletableResponseListener(request).send();
    }

    @Override
    public void close() {
        LifeCycle.stop(client);
    }
}
