package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.BodyAccumulator;
import dev.foxtailshed.daemon.internal.http.ClientRequests;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.kernel.TimerService;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Sends crash notices to the other entries, receives theirs, and fetches what an entry has missed.
 *
 * <p>A notice that a peer does not acknowledge is sent again a few times; it may arrive twice.
 * Thread-safe.
 */
final class CrashNotices implements Endpoint {

    private static final String PATH = "/peer/crashes";
    private static final String CONTENT_TYPE = "application/msgpack";
    private static final long TIMEOUT_MILLIS = 500;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final int MAXIMUM_ATTEMPTS = 3;

    /** All crashes on record, each with prompts of the largest number of parts. */
    private static final int MAXIMUM_BYTES = 8 << 20;

    private final HttpClient httpClient;
    private final TimerService timer;
    private final Supplier<List<InetSocketAddress>> peers;
    private final Consumer<CrashNotice> listener;
    private final Supplier<List<CrashNotice>> evidence;

    /**
     * Creates the exchange.
     *
     * @param httpClient the client for calls to other entries
     * @param timer delays repetitions
     * @param peers the control addresses of the other entries
     * @param listener receives the notices of other entries, on any thread
     * @param evidence supplies the notices that let another entry find the patterns in force; may
     *     be called on any thread
     */
    CrashNotices(
            HttpClient httpClient,
            TimerService timer,
            Supplier<List<InetSocketAddress>> peers,
            Consumer<CrashNotice> listener,
            Supplier<List<CrashNotice>> evidence) {
        this.httpClient = httpClient;
        this.timer = timer;
        this.peers = peers;
        this.listener = listener;
        this.evidence = evidence;
    }

    /** Sends a notice to all other entries. */
    void send(CrashNotice notice) {
        long sentMillis = timer.nowMillis();
        peers.get().forEach(peer -> send(peer, notice, sentMillis, 1));
    }

    private void send(InetSocketAddress peer, CrashNotice notice, long sentMillis, int attempt) {
        byte[] body = CrashNotice.encode(List.of(notice.olderBy(timer.nowMillis() - sentMillis)));
        ClientRequests.send(
                newRequest(peer)
                        .method(HttpMethod.POST)
                        .body(new BytesRequestContent(CONTENT_TYPE, body)),
                result -> {
                    if (hasStatus(result, HttpStatus.NO_CONTENT_204)) {
                        return;
                    }
                    if (attempt < MAXIMUM_ATTEMPTS) {
                        timer.once(
                                RETRY_DELAY_MILLIS,
                                () -> send(peer, notice, sentMillis, attempt + 1));
                    } else {
                        logNotDelivered(peer, result);
                    }
                });
    }

    /**
     * Fetches the evidence of other entries.
     *
     * @param maximumPeers the number of entries to ask
     */
    void fetch(int maximumPeers) {
        List<InetSocketAddress> all = peers.get();
        // Consecutive peers from a varying position, so that not all entries ask the same ones.
        int first = all.isEmpty() ? 0 : (int) (timer.nowMillis() % all.size());
        for (int i = 0; i < Math.min(maximumPeers, all.size()); i++) {
            InetSocketAddress peer = all.get((first + i) % all.size());
            ClientRequests.send(
                    newRequest(peer),
                    new BufferingResponseListener(MAXIMUM_BYTES) {
                        @Override
                        public void onComplete(Result result) {
                            if (hasStatus(result, HttpStatus.OK_200)) {
                                receive(peer, getContent());
                            }
                        }
                    });
        }
    }

    private org.eclipse.jetty.client.Request newRequest(InetSocketAddress peer) {
        return httpClient
                .newRequest(peer.getHostString(), peer.getPort())
                .path(PATH)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static boolean hasStatus(Result result, int status) {
        return result.isSucceeded() && result.getResponse().getStatus() == status;
    }

    private static void logNotDelivered(InetSocketAddress peer, Result result) {
        EventLog.log(
                EventCode.CRASH_NOTICE_NOT_DELIVERED,
                Field.of("peer", peer),
                Field.of(
                        "cause",
                        result.isFailed()
                                ? result.getFailure().getClass().getSimpleName()
                                : "status " + result.getResponse().getStatus()));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        if (!HttpMethod.POST.is(request.getMethod())) {
            byte[] body = CrashNotice.encode(evidence.get());
            response.write(true, ByteBuffer.wrap(body), callback);
            return true;
        }
        BodyAccumulator.read(request, MAXIMUM_BYTES)
                .whenComplete((body, failure) -> respond(request, response, callback, body));
        return true;
    }

    /** Responds to a notice; the body is null if it could not be read. */
    private void respond(
            Request request, Response response, Callback callback, Optional<byte[]> body) {
        boolean received =
                body != null
                        && body.isPresent()
                        && receive(Request.getRemoteAddr(request), body.get());
        response.setStatus(received ? HttpStatus.NO_CONTENT_204 : HttpStatus.BAD_REQUEST_400);
        callback.succeeded();
    }

    private boolean receive(Object peer, byte[] body) {
        try {
            CrashNotice.decode(body).forEach(listener);
            return true;
        } catch (IllegalArgumentException e) {
            EventLog.log(
                    EventCode.PEER_UNREADABLE,
                    Field.of("peer", peer),
                    Field.of("cause", e.getMessage()));
            return false;
        }
    }
}
