package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.BodyAccumulator;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.kernel.TimerService;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Sends crash notices to the other entries, and receives theirs. Thread-safe.
 *
 * <p>A notice that a peer does not acknowledge is sent again a few times; it may arrive twice.
 */
final class CrashNotices implements Endpoint {

    private static final String PATH = "/peer/crashes";
    private static final String CONTENT_TYPE = "application/msgpack";
    private static final long TIMEOUT_MILLIS = 500;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final int MAXIMUM_ATTEMPTS = 3;

    /** The prompts of one crash, each as large as the head of a request may be. */
    private static final int MAXIMUM_NOTICE_BYTES = 2 << 20;

    private final HttpClient httpClient;
    private final TimerService timer;
    private final Supplier<List<InetSocketAddress>> peers;
    private final Consumer<CrashNotice> listener;

    /**
     * Creates the exchange.
     *
     * @param httpClient the client for calls to other entries
     * @param timer delays repetitions
     * @param peers the control addresses of the other entries
     * @param listener receives the notices of other entries, on any thread
     */
    CrashNotices(
            HttpClient httpClient,
            TimerService timer,
            Supplier<List<InetSocketAddress>> peers,
            Consumer<CrashNotice> listener) {
        this.httpClient = httpClient;
        this.timer = timer;
        this.peers = peers;
        this.listener = listener;
    }

    /** Sends a notice to all other entries. */
    void send(CrashNotice notice) {
        byte[] body = notice.encode();
        peers.get().forEach(peer -> send(peer, body, 1));
    }

    private void send(InetSocketAddress peer, byte[] body, int attempt) {
        httpClient
                .newRequest(peer.getHostString(), peer.getPort())
                .method(HttpMethod.POST)
                .path(PATH)
                .body(new BytesRequestContent(CONTENT_TYPE, body))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(
                        result -> {
                            if (result.isSucceeded()) {
                                return;
                            }
                            if (attempt < MAXIMUM_ATTEMPTS) {
                                timer.once(RETRY_DELAY_MILLIS, () -> send(peer, body, attempt + 1));
                            } else {
                                EventLog.log(
                                        EventCode.CRASH_NOTICE_NOT_DELIVERED,
                                        Field.of("peer", peer),
                                        Field.of(
                                                "cause",
                                                result.getFailure().getClass().getSimpleName()));
                            }
                        });
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)
                || !HttpMethod.POST.is(request.getMethod())) {
            return false;
        }
        BodyAccumulator.read(request, MAXIMUM_NOTICE_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                callback.failed(failure);
                                return;
                            }
                            response.setStatus(
                                    receive(request, body)
                                            ? HttpStatus.NO_CONTENT_204
                                            : HttpStatus.BAD_REQUEST_400);
                            callback.succeeded();
                        });
        return true;
    }

    private boolean receive(Request request, Optional<byte[]> body) {
        try {
            listener.accept(
                    CrashNotice.decode(
                            body.orElseThrow(
                                    () ->
                                            new IllegalArgumentException(
                                                    "expected at most "
                                                            + MAXIMUM_NOTICE_BYTES
                                                            + " bytes, found more"))));
            return true;
        } catch (IllegalArgumentException e) {
            EventLog.log(
                    EventCode.PEER_UNREADABLE,
                    Field.of("peer", Request.getRemoteAddr(request)),
                    Field.of("cause", e.getMessage()));
            return false;
        }
    }
}
