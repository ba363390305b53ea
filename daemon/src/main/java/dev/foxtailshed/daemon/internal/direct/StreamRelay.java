package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.EventStreamSplitter;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * One attempt whose answer is a stream: whole events go to the caller as they arrive.
 *
 * <p>A stream that falls silent is given up if it can go on at another server. One that cannot is
 * left to its server until the deadline: it may have been preempted and goes on later. Runs on the
 * entry's loop.
 */
final class StreamRelay implements BackendCall.Listener {

    /** Least silence before a stream is given up; callers wait about as long. */
    private static final long LEAST_SILENCE_MILLIS = 2_000;

    /** Silence in multiples of the longest pause that is on time; callers leave at this. */
    private static final long SILENCE_GAPS = 8;

    private final DirectContext context;
    private final DirectFlow flow;
    private final EventStreamSplitter boundary;
    private final Listener listener;
    private final BackendCall call;
    private final long silenceMillis;
    private int status;
    private boolean hasEvents;
    private Optional<Subscription> silenceTimer = Optional.empty();
    private long lastBytesMillis;

    /** Hears what becomes of the stream. */
    interface Listener {
        /** The first event came. */
        void onFirstEvent(StreamRelay relay);

        /** The stream ended; complete if the outcome is ANSWERED. */
        void onEnd(StreamRelay relay, CallOutcome outcome, String detail);
    }

    StreamRelay(
            DirectContext context,
            DirectFlow flow,
            DirectServer server,
            AttemptOptions terms,
            EventStreamSplitter boundary,
            Listener listener) {
        this.context = context;
        this.flow = flow;
        this.boundary = boundary;
        this.listener = listener;
        this.silenceMillis =
                Math.max(
                        LEAST_SILENCE_MILLIS,
                        SILENCE_GAPS * flow.request.route().targetGapMillis());
        this.call = new BackendCall(context, flow.request, server, terms, this);
    }

    void send() {
        call.send();
        lastBytesMillis = context.timer().nowMillis();
        if (flow.request.route().repeatability().mayRunAgain() && flow.serversLeft() > 0) {
            watchSilence(silenceMillis);
        }
    }

    void cancel() {
        call.cancel();
    }

    DirectServer server() {
        return call.server();
    }

    int status() {
        return status;
    }

    long elapsedMillis() {
        return call.elapsedMillis();
    }

    boolean hasEvents() {
        return hasEvents;
    }

    private void watchSilence(long delayMillis) {
        silenceTimer = Optional.of(context.once(delayMillis, this::checkSilence));
    }

    private void checkSilence() {
        long leftMillis = lastBytesMillis + silenceMillis - context.timer().nowMillis();
        if (leftMillis > 0) {
            watchSilence(leftMillis);
        } else {
            call.abort(CallOutcome.SILENT, "no event in " + silenceMillis + " ms");
        }
    }

    @Override
    public void onHead(int headStatus, HttpFields headers) {
        status = headStatus;
        lastBytesMillis = context.timer().nowMillis();
        // A resumed stream keeps the head of its first server.
        flow.startAnswer(headStatus, headers);
    }

    @Override
    public void onBytes(byte[] bytes) {
        lastBytesMillis = context.timer().nowMillis();
        Optional<byte[]> events = boundary.feed(bytes);
        if (events.isPresent()) {
            flow.writeAnswer(events.get());
            if (!hasEvents) {
                hasEvents = true;
                listener.onFirstEvent(this);
            }
        }
    }

    @Override
    public void onEnd(CallOutcome outcome, String detail) {
        silenceTimer.ifPresent(Subscription::cancel);
        boolean complete = outcome == CallOutcome.ANSWERED || outcome == CallOutcome.SERVER_ERROR;
        if (complete && boundary.incompleteEvent().length > 0) {
            flow.writeAnswer(boundary.incompleteEvent());
        }
        boundary.discardIncompleteEvent();
        listener.onEnd(this, outcome, detail);
    }
}
