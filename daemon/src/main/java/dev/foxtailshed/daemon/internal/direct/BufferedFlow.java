package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.ServerHealth;
import dev.foxtailshed.kernel.direct.ServerSelector;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * A plain request: its answer is given when it is complete, so that a broken one can be repeated.
 *
 * <p>An attempt that is silent for much longer than its server usually takes is given up where the
 * request may run again at another server.
 */
final class BufferedFlow extends DirectFlow {

    /** Largest answer kept in memory; answers of plain services are small. */
    private static final int MAXIMUM_ANSWER_BYTES = 8 << 20;

    /** Silence after which another server is tried, in multiples of the usual latency. */
    private static final double SILENCE_LATENCIES = 4;

    private final ServerSelector selector;
    private Optional<Attempt> current = Optional.empty();

    BufferedFlow(
            DirectContext context,
            CallerRequest request,
            CallerStream caller,
            ServerSelector selector) {
        super(context, request, caller);
        this.selector = selector;
    }

    @Override
    void begin() {
        chooseServer(selector).ifPresent(this::send);
    }

    private void send(DirectServer server) {
        current = Optional.of(new Attempt(server));
        current.get().call.send();
        limitSilence(current.get().call);
    }

    @Override
    void cancelWork() {
        current.ifPresent(attempt -> attempt.call.cancel());
    }

    @Override
    boolean hasAttemptUnderWay() {
        return current.isPresent();
    }

    private void limitSilence(BackendCall call) {
        if (!request.route().repeatability().mayRunAgain() || serversLeft() <= 0) {
            return;
        }
        ServerHealth health = context.health().get(call.server());
        double usualMillis =
                Math.max(
                        request.route().targetLatencyMillis() / 2.0,
                        SILENCE_LATENCIES * health.latencyMillis());
        call.limitSilence((long) Math.min(usualMillis, remainingMillis() / 2.0));
    }

    private void ended(Attempt attempt, CallOutcome outcome, String detail) {
        current = Optional.empty();
        attemptEnded(attempt.call.server(), outcome);
        if (isFinished()) {
            return;
        }
        if (outcome == CallOutcome.ANSWERED) {
            answer(attempt.status, attempt.headers, attempt.body.toByteArray());
            return;
        }
        switch (nextStep(outcome)) {
            case TRY_ANOTHER -> begin();
            case PASS_ON -> answer(attempt.status, attempt.headers, attempt.body.toByteArray());
            default -> fail(detail, outcome == CallOutcome.SILENT, retrySoonMillis());
        }
    }

    /** One attempt and what has come of its answer. */
    private final class Attempt implements BackendCall.Listener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final BackendCall call;
        private int status;
        private HttpFields headers = HttpFields.EMPTY;

        Attempt(DirectServer server) {
            call = new BackendCall(context, request, server, plainTerms(server), this);
        }

        @Override
        public void onHead(int headStatus, HttpFields headHeaders) {
            status = headStatus;
            headers = headHeaders;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (body.size() + bytes.length > MAXIMUM_ANSWER_BYTES) {
                call.abort(CallOutcome.BROKEN, "the answer is too large");
            } else {
                body.writeBytes(bytes);
            }
        }

        @Override
        public void onEnd(CallOutcome outcome, String detail) {
            ended(this, outcome, detail);
        }
    }
}
