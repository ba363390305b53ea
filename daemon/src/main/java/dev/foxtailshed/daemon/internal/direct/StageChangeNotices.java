package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.ClientRequests;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Announces stage changes of model servers to the other entries, and receives their announcements.
 *
 * <p>A lost notice costs only a few refused runs, so notices are neither acknowledged nor repeated.
 * They have durations instead of times, since the entries' clocks differ. Thread-safe.
 */
final class StageChangeNotices implements Endpoint {

    private static final String PATH = "/peer/stage-changes";
    private static final String SERVICE = "service";
    private static final String SERVER = "server";
    private static final String STARTED = "started";
    private static final String STAGE = "stage";
    private static final String LEAD = "leadMillis";
    private static final String DURATION = "durationMillis";

    /** Timeout of a call to a peer; a notice that arrives later is of no use. */
    private static final long TIMEOUT_MILLIS = 500;

    private final HttpClient httpClient;
    private final Supplier<List<InetSocketAddress>> peers;
    private final Consumer<Notice> listener;

    /**
     * Creates the exchange.
     *
     * @param httpClient the client for calls to other entries
     * @param peers the control addresses of the other entries
     * @param listener receives the notices of other entries, on any thread
     */
    StageChangeNotices(
            HttpClient httpClient,
            Supplier<List<InetSocketAddress>> peers,
            Consumer<Notice> listener) {
        this.httpClient = httpClient;
        this.peers = peers;
        this.listener = listener;
    }

    /**
     * An announced stage change.
     *
     * @param service the server's service
     * @param server the server
     * @param stage the stage that it will have
     * @param leadMillis the time from the notice to the command
     * @param durationMillis the longest time from the notice to the end of the change; 0 withdraws
     *     an earlier notice
     */
    record Notice(
            String service, Incarnation server, Stage stage, long leadMillis, long durationMillis) {

        Notice withdrawn() {
            return new Notice(service, server, stage, 0, 0);
        }
    }

    /** Sends a notice to all other entries. */
    void send(Notice notice) {
        for (InetSocketAddress peer : peers.get()) {
            org.eclipse.jetty.client.Request request =
                    httpClient
                            .newRequest(peer.getHostString(), peer.getPort())
                            .method(HttpMethod.POST)
                            .path(PATH)
                            .param(SERVICE, notice.service())
                            .param(SERVER, notice.server().id())
                            .param(STARTED, Long.toString(notice.server().startedEpochMillis()))
                            .param(STAGE, notice.stage().name())
                            .param(LEAD, Long.toString(notice.leadMillis()))
                            .param(DURATION, Long.toString(notice.durationMillis()))
                            .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            ClientRequests.send(request, result -> logFailure(peer, result.getFailure()));
        }
    }

    private static void logFailure(InetSocketAddress peer, Throwable failure) {
        if (failure != null) {
            EventLog.log(
                    EventCode.NOTICE_NOT_DELIVERED,
                    Field.of("peer", peer),
                    Field.of("cause", failure.getClass().getSimpleName()));
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)
                || !HttpMethod.POST.is(request.getMethod())) {
            return false;
        }
        try {
            listener.accept(parse(Request.extractQueryParameters(request)));
            response.setStatus(HttpStatus.NO_CONTENT_204);
        } catch (IllegalArgumentException e) {
            EventLog.log(
                    EventCode.PEER_UNREADABLE,
                    Field.of("peer", Request.getRemoteAddr(request)),
                    Field.of("cause", e.getMessage()));
            response.setStatus(HttpStatus.BAD_REQUEST_400);
        }
        callback.succeeded();
        return true;
    }

    private static Notice parse(Fields fields) {
        return new Notice(
                text(fields, SERVICE),
                new Incarnation(text(fields, SERVER), number(fields, STARTED)),
                Stage.valueOf(text(fields, STAGE)),
                number(fields, LEAD),
                number(fields, DURATION));
    }

    private static String text(Fields fields, String name) {
        String value = fields.getValue(name);
        if (value == null) {
            throw new IllegalArgumentException(name + ": expected a value, found nothing");
        }
        return value;
    }

    private static long number(Fields fields, String name) {
        String value = text(fields, name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    name + ": expected a whole number, found \"" + value + '"');
        }
    }
}
