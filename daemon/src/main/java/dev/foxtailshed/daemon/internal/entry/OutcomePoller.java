package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.wire.Message;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Asks a sidecar, again and again, what became of an attempt whose connection was lost.
 *
 * <p>Ends with the first answer, with "may have run" once another incarnation of the sidecar has
 * answered, or when it is cancelled.
 */
final class OutcomePoller implements AttemptHandler {

    private static final long PERIOD_MILLIS = 100;

    private final Attempt attempt;
    private final Executor serial;
    private final TimerService timer;
    private final Consumer<Message.Outcome> onOutcome;
    private TimerService.Subscription repetition = () -> {};
    private boolean over;

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
        attempt.link().register(attempt.id(), this);
        repetition = timer.every(PERIOD_MILLIS, () -> serial.execute(this::ask));
        ask();
    }

    void cancel() {
        over = true;
        repetition.cancel();
        attempt.link().end(attempt.id());
    }

    @Override
    public void onMessage(Message message) {
        if (message instanceof Message.Outcome outcome) {
            serial.execute(() -> take(outcome));
        }
    }

    @Override
    public void onLinkLost() {
        // The repetition asks again once the link is back.
    }

    private void ask() {
        if (over) {
            return;
        }
        Optional<Long> incarnation = attempt.link().incarnation();
        if (incarnation.isPresent() && incarnation.get() != attempt.sidecarIncarnation()) {
            take(new Message.Outcome(attempt.id(), Verdict.MAY_HAVE_RUN, Optional.empty()));
        } else if (incarnation.isPresent()) {
            attempt.link()
                    .send(new Message.OutcomeQuery(attempt.id(), attempt.sidecarIncarnation()));
        }
    }

    private void take(Message.Outcome outcome) {
        // A sidecar answers once the run has ended, so that "may have run" is its last word too.
        if (!over) {
            cancel();
            onOutcome.accept(outcome);
        }
    }
}
