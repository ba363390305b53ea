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
 * Counts the requests in flight and lets a shutdown wait for them.
 *
 * <p>{@link ShutdownAdmission} decides what is still taken meanwhile. Thread-safe.
 */
final class ShutdownGate {

    private final TimerService timer;
    private final InFlightRequests earlier = new InFlightRequests();
    private final InFlightRequests late = new InFlightRequests();
    private volatile ShutdownAdmission admission = ShutdownAdmission.open();

    ShutdownGate(TimerService timer) {
        this.timer = timer;
    }

    /**
     * Admits a request, or refuses it since the instance shuts down.
     *
     * @param deadlineMillis when the request's time ends, on the timer's clock
     * @return what the request runs when it leaves, or empty if it must be refused as not run
     */
    Optional<Runnable> enter(long deadlineMillis) {
        while (true) {
            ShutdownAdmission seen = admission;
            if (!seen.admits(deadlineMillis)) {
                return Optional.empty();
            }
            InFlightRequests counted =
                    seen.phase() == ShutdownAdmission.Phase.OPEN ? earlier : late;
            counted.enter();
            if (seen == admission) {
                return Optional.of(counted::exit);
            }
            // The phase changed in between, and its wait may have missed this request.
            counted.exit();
        }
    }

    /** Tells whether nothing is taken any more. */
    boolean isClosed() {
        return admission.phase() == ShutdownAdmission.Phase.CLOSED;
    }

    /** Returns the requests in flight. */
    int count() {
        return earlier.count() + late.count();
    }

    /**
     * Waits for the requests in flight and refuses more and more of what comes.
     *
     * @param endMillis when all requests must have ended, on the timer's clock
     */
    void close(long endMillis) throws InterruptedException {
        admission = ShutdownAdmission.finishing(endMillis);
        awaitIdle(earlier, endMillis);
        admission = ShutdownAdmission.closed();
        awaitIdle(late, endMillis);
    }

    private void awaitIdle(InFlightRequests requests, long endMillis) throws InterruptedException {
        try {
            long leftMillis = Math.max(0, endMillis - timer.nowMillis());
            requests.idle().get(leftMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            EventLog.log(EventCode.DRAIN_EXPIRED, Field.of("requestsInFlight", requests.count()));
        } catch (ExecutionException e) {
            EventLog.unexpected("drain", e);
        }
    }
}
