package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.daemon.internal.events.EventLog;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.io.Content;

/** Sends requests of the HTTP client so that each one has exactly one result. */
public final class ClientRequests {

    private ClientRequests() {}

    /**
     * Sends a request.
     *
     * <p>If the client throws an exception or error instead of reporting a result, the request is
     * aborted and the failure becomes its result. The client may report a result all the same if it
     * had queued the request before; the first one counts.
     *
     * @param request the request
     * @param listener receives the result, possibly before this method returns
     */
    public static void send(Request request, Response.CompleteListener listener) {
        Response.CompleteListener single =
                listener instanceof Response.Listener full
                        ? new SingleResultListener(full)
                        : firstResultOnly(listener);
        try {
            request.send(single);
        } catch (RuntimeException | Error e) {
            EventLog.logUnexpected("request to " + request.getHost(), e);
            request.abort(e);
            single.onComplete(new Result(request, e, null, null));
        }
    }

    private static Response.CompleteListener firstResultOnly(Response.CompleteListener listener) {
        AtomicBoolean ended = new AtomicBoolean();
        return result -> {
            if (!ended.getAndSet(true)) {
                listener.onComplete(result);
            }
        };
    }

    /** Passes on all events of a response, and the first result only. */
    private static final class SingleResultListener implements Response.Listener {
        private final Response.Listener listener;
        private final Response.CompleteListener first;

        SingleResultListener(Response.Listener listener) {
            this.listener = listener;
            this.first = firstResultOnly(listener);
        }

        @Override
        public void onBegin(Response response) {
            listener.onBegin(response);
        }

        @Override
        public boolean onHeader(Response response, HttpField field) {
            return listener.onHeader(response, field);
        }

        @Override
        public void onHeaders(Response response) {
            listener.onHeaders(response);
        }

        @Override
        public void onContentSource(Response response, Content.Source source) {
            listener.onContentSource(response, source);
        }

        @Override
        public void onSuccess(Response response) {
            listener.onSuccess(response);
        }

        @Override
        public void onFailure(Response response, Throwable failure) {
            listener.onFailure(response, failure);
        }

        @Override
        public void onComplete(Result result) {
            first.onComplete(result);
        }
    }
}
