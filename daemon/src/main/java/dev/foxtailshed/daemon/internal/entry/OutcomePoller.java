package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.wire.Message;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Polls a sidecar for the outcome of an attempt whose connection was lost.
 *
 * <p>Ends with the first answer, with "may have run" once the connection leads to another
 * incarnation of the sidecar, or when it is cancelled.
 */
final class OutcomePoller implements AttemptHandler {

    private static final long PERIOD_MILLIS = 100;

    private final Attempt attempt;
    private final Executor serial;
    private final TimerService timer;
    private final Consumer<Message.Outcome> onOutcome;
    private TimerService.Subscription periodicQuery = () -> {};
    private boolean finished;

    OutcomePoller(
            Attempt attempt,
            Executor serial,
            TimerService timer,
            Consumer<Message.Outcome> onOutcome) {
        this.attempt = attempt;
        this.serial = serial;
        this.timer = timer;
        this.onOutcome = onOutcome;
    }

    void start() {
        attempt.connection().register(attempt.id(), this);
        periodicQuery = timer.every(PERIOD_MILLIS, () -> serial.execute(this::query));
        query();
    }

    void cancel() {
        finished = true;
        periodicQuery.cancel();
        attempt.connection().unregister(attempt.id());
    }

    @Override
    public void onMessage(Message message) {
        if (message instanceof Message.Outcome outcome) {
            serial.execute(() -> complete(outcome));
        }
    }

    @Override
    public void onConnectionLost() {
        // The periodic query is sent again once the connection is restored.
    }

    private void query() {
        if (finished) {
            return;
        }
        Optional<Long> incarnation = attempt.connection().incarnation();
        if (incarnation.isPresent() && incarnation.get() != attempt.sidecarIncarnation()) {
            complete(new Message.Outcome(attempt.id(), Verdict.MAY_HAVE_RUN, Optional.empty()));
        } else if (incarnation.isPresent()) {
            attempt.connection()
                    .send(new Message.OutcomeQuery(attempt.id(), attempt.sidecarIncarnation()));
        }
    }

    private void complete(Message.Outcome outcome) {
        // A sidecar answers only once the run has ended, so "may have run" is final as well.
        if (!finished) {
            cancel();
            onOutcome.accept(outcome);
        }
    }
}
