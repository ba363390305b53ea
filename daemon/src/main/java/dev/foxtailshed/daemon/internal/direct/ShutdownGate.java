package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.InFlightRequests;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.direct.ShutdownAdmission;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Admits requests, counts those in flight and lets a shutdown wait for them.
 *
 * <p>{@link ShutdownAdmission} decides which requests are still admitted during the shutdown.
 * Thread-safe.
 */
final class ShutdownGate {

    private final TimerService timer;
    private final InFlightRequests earlierRequests = new InFlightRequests();
    private final InFlightRequests shutdownRequests = new InFlightRequests();
    private volatile ShutdownAdmission admission = ShutdownAdmission.open();

    ShutdownGate(TimerService timer) {
        this.timer = timer;
    }

    /**
     * Admits a request, or refuses it because the instance is shutting down.
     *
     * @param deadlineMillis the deadline of the request, on the timer's clock
     * @return a task to run when the request has ended, or empty if the request must be refused as
     *     not run
     */
    Optional<Runnable> enter(long deadlineMillis) {
        while (true) {
            ShutdownAdmission current = admission;
            if (!current.admits(deadlineMillis)) {
                return Optional.empty();
            }
            InFlightRequests requests =
                    current.phase() == ShutdownAdmission.Phase.OPEN
                            ? earlierRequests
                            : shutdownRequests;
            requests.enter();
            if (current == admission) {
                return Optional.of(requests::exit);
            }
            // The phase changed meanwhile, so its wait may have missed this request; retry.
            requests.exit();
        }
    }

    /** Returns whether no requests are admitted any more. */
    boolean isClosed() {
        return admission.phase() == ShutdownAdmission.Phase.CLOSED;
    }

    /** Returns the number of requests in flight. */
    int count() {
        return earlierRequests.count() + shutdownRequests.count();
    }

    /**
     * Shuts down in two phases: waits for the earlier requests while short ones are still admitted,
     * then admits none and waits for the rest.
     *
     * @param endMillis when all requests must have ended, on the timer's clock
     */
    void close(long endMillis) throws InterruptedException {
        admission = ShutdownAdmission.finishing(endMillis);
        awaitIdle(earlierRequests, endMillis);
        admission = ShutdownAdmission.closed();
        awaitIdle(shutdownRequests, endMillis);
    }

    private void awaitIdle(InFlightRequests requests, long endMillis) throws InterruptedException {
        try {
            long remainingMillis = Math.max(0, endMillis - timer.nowMillis());
            requests.whenIdle().get(remainingMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            EventLog.log(EventCode.DRAIN_EXPIRED, Field.of("requestsInFlight", requests.count()));
        } catch (ExecutionException e) {
            EventLog.logUnexpected("drain", e);
        }
    }
}
