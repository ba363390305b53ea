package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.daemon.internal.direct.DirectRequestRecorder.StreamPosition;
import dev.foxtailshed.daemon.internal.http.ResponseFraming;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.direct.BufferBudget;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.EventStreamSplitter;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * One attempt with a streamed response: complete events are forwarded to the caller as they arrive.
 *
 * <p>A response that is not an event stream, such as an error, is forwarded when it is complete, so
 * that another attempt can still replace it.
 *
 * <p>A stream that stalls is aborted if it can continue at another server. If it cannot, it is kept
 * until the deadline, since the server may have preempted it and may resume it later. Runs on the
 * entry's loop.
 */
final class StreamRelay implements BackendCall.Listener {

    /** Shortest stall after which a stream is aborted; callers wait about as long. */
    private static final long MINIMUM_STALL_TIMEOUT_MILLIS = 2_000;

    /**
     * Stall after which a stream is aborted, in multiples of the target gap between events; callers
     * disconnect at this point.
     */
    private static final long STALL_TIMEOUT_GAPS = 8;

    /** Largest event, or response without events, that is buffered; events hold a few tokens. */
    private static final int MAXIMUM_BUFFERED_BYTES = 1 << 20;

    private static final String EVENT_STREAM_TYPE = "text/event-stream";

    private final DirectContext context;
    private final DirectFlow flow;
    private final EventStreamSplitter splitter;
    private final Listener listener;
    private final BackendCall call;
    private final BufferBudget.Account account;
    private final OptionalLong resumedAfter;
    private final long stallTimeoutMillis;
    private final ByteArrayOutputStream heldBody = new ByteArrayOutputStream();
    private int status;
    private Optional<ResponseFraming> framing = Optional.empty();
    private boolean isEventStream;
    private HttpFields heldHeaders = HttpFields.EMPTY;
    private boolean hasEvents;
    private Optional<Subscription> stallTimer = Optional.empty();
    private long lastBytesMillis;

    /** Receives the progress of the stream. */
    interface Listener {
        /** Called after the first event was forwarded. */
        void onFirstEvent(StreamRelay relay);

        /**
         * Called when the attempt has ended; the stream is complete if the outcome is ANSWERED or
         * SERVER_ERROR.
         */
        void onEnd(StreamRelay relay, CallOutcome outcome, String detail);
    }

    StreamRelay(
            DirectContext context,
            DirectFlow flow,
            DirectServer server,
            AttemptOptions options,
            EventStreamSplitter splitter,
            Listener listener) {
        this.context = context;
        this.flow = flow;
        this.splitter = splitter;
        this.listener = listener;
        this.resumedAfter =
                options.resumeAfter().isPresent()
                        ? options.resumeAfter()
                        : flow.request.attributes().resumeAfterEventId();
        this.stallTimeoutMillis =
                Math.max(
                        MINIMUM_STALL_TIMEOUT_MILLIS,
                        STALL_TIMEOUT_GAPS * flow.request.route().targetGapMillis());
        this.call = new BackendCall(context, flow.request, server, options, this);
        this.account = context.responseBuffers().open(call::giveUpForMemory);
    }

    void send() {
        splitter.startRun();
        call.send();
        lastBytesMillis = context.timer().nowMillis();
        if (flow.request.route().repeatability().mayRunAgain() && flow.remainingServers() > 0) {
            scheduleStallCheck(stallTimeoutMillis);
        }
    }

    void cancel() {
        call.cancel();
    }

    BackendCall call() {
        return call;
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

    /** Returns the position that this attempt has reached in the stream. */
    StreamPosition position() {
        return new StreamPosition(
                status,
                framing,
                resumedAfter,
                splitter.firstEventId(),
                splitter.lastEventId(),
                splitter.incompleteEvent().length);
    }

    private void scheduleStallCheck(long delayMillis) {
        stallTimer = Optional.of(context.schedule(delayMillis, this::checkStall));
    }

    private void checkStall() {
        if (flow.isWaitingForCaller()) {
            // The server is silent because it is not read.
            lastBytesMillis = context.timer().nowMillis();
        }
        long remainingMillis = lastBytesMillis + stallTimeoutMillis - context.timer().nowMillis();
        if (remainingMillis > 0) {
            scheduleStallCheck(remainingMillis);
        } else {
            call.abort(CallOutcome.SILENT, "no data within " + stallTimeoutMillis + " ms");
        }
    }

    @Override
    public void onHead(int headStatus, HttpFields headers) {
        status = headStatus;
        framing = Optional.of(ResponseFraming.of(headers));
        lastBytesMillis = context.timer().nowMillis();
        boolean mayStartOrContinue =
                flow.isResponseStarted()
                        ? headStatus == HttpStatus.OK_200
                        : HttpStatus.isSuccess(headStatus);
        isEventStream = mayStartOrContinue && mayHaveEvents(headers);
        if (isEventStream) {
            // Only the first call takes effect, so a resumed stream keeps its first server's head.
            flow.startResponse(headStatus, headers);
        } else if (flow.isResponseStarted()) {
            // Its body is not a part of the stream that the caller is receiving.
            call.abort(CallOutcome.BROKEN, "status " + headStatus + " to a resumption");
        } else {
            heldHeaders = headers;
        }
    }

    private static boolean mayHaveEvents(HttpFields headers) {
        String type = headers.get(HttpHeader.CONTENT_TYPE);
        return type == null || type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM_TYPE);
    }

    @Override
    public Optional<String> findMissingPart() {
        return isEventStream ? splitter.findMissingPart(isEndMarked()) : Optional.empty();
    }

    private boolean isEndMarked() {
        return !mayHaveBody() || framing.map(ResponseFraming::marksEnd).orElse(false);
    }

    private boolean mayHaveBody() {
        return !HttpMethod.HEAD.is(flow.request.method()) && !HttpStatus.hasNoBody(status);
    }

    @Override
    public void onBytes(byte[] bytes) {
        lastBytesMillis = context.timer().nowMillis();
        if (isEventStream) {
            splitter.feed(bytes).ifPresent(this::forwardEvents);
        } else {
            heldBody.writeBytes(bytes);
        }
        account.resize(splitter.incompleteEvent().length + heldBody.size());
        if (splitter.misplacedEventId().isPresent()) {
            call.abort(
                    CallOutcome.BROKEN,
                    "event " + splitter.misplacedEventId().getAsLong() + " is out of order");
        } else if (Math.max(splitter.incompleteEvent().length, heldBody.size())
                > MAXIMUM_BUFFERED_BYTES) {
            call.abort(
                    CallOutcome.BROKEN,
                    "an event or error is larger than " + MAXIMUM_BUFFERED_BYTES + " bytes");
        }
    }

    @Override
    public void whenWritable(Runnable next) {
        flow.whenResponseWritable(next);
    }

    private void forwardEvents(byte[] events) {
        flow.writeResponse(events);
        if (!hasEvents && splitter.hasEventsOfRun()) {
            hasEvents = true;
            listener.onFirstEvent(this);
        }
        flow.recordEvents(splitter.eventCountOfRun());
    }

    @Override
    public void onEnd(CallOutcome outcome, String detail) {
        account.close();
        stallTimer.ifPresent(Subscription::cancel);
        boolean complete = outcome == CallOutcome.ANSWERED || outcome == CallOutcome.SERVER_ERROR;
        if (complete && !isEventStream) {
            flow.startResponse(status, heldHeaders);
            if (heldBody.size() > 0) {
                flow.writeResponse(heldBody.toByteArray());
            }
        }
        if (!complete && outcome != CallOutcome.CANCELLED && status != 0) {
            context.recorder()
                    .recordStreamBreak(flow.request, call.server().id(), outcome, position());
        }
        listener.onEnd(this, outcome, detail);
    }
}
