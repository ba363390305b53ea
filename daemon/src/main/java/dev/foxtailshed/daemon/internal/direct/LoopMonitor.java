package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.TimerService;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Detects that a loop that the entry needs, or its timer, no longer runs tasks.
 *
 * <p>The timer puts a task on the loop in each period; if none has run for a while, the entry can
 * serve no request, or only some, whatever the rest of the process still answers. Thread-safe.
 */
final class LoopMonitor {

    private static final long PERIOD_MILLIS = 500;

    /** Time without a task after which the loop counts as stalled; callers wait about as long. */
    static final long STALL_MILLIS = 3_000;

    private final TimerService timer;
    private final String name;
    private final Executor loop;
    private final AtomicBoolean taskWaiting = new AtomicBoolean();
    private final AtomicBoolean stallLogged = new AtomicBoolean();
    private volatile long lastRunMillis;

    /**
     * Creates a monitor, not started yet.
     *
     * @param timer the clock and scheduler
     * @param name the name of the loop in events
     * @param loop runs tasks on the loop
     */
    LoopMonitor(TimerService timer, String name, Executor loop) {
        this.timer = timer;
        this.name = name;
        this.loop = loop;
        this.lastRunMillis = timer.nowMillis();
    }

    void start() {
        lastRunMillis = timer.nowMillis();
        timer.every(PERIOD_MILLIS, this::putTask);
    }

    private void putTask() {
        if (taskWaiting.compareAndSet(false, true)) {
            loop.execute(this::recordRun);
        }
    }

    private void recordRun() {
        taskWaiting.set(false);
        lastRunMillis = timer.nowMillis();
        stallLogged.set(false);
    }

    /** Returns whether the loop has run a task lately. */
    boolean isRunning() {
        long idleMillis = timer.nowMillis() - lastRunMillis;
        boolean running = idleMillis <= STALL_MILLIS;
        if (!running && stallLogged.compareAndSet(false, true)) {
            EventLog.log(
                    EventCode.LOOP_STALLED,
                    Field.of("loop", name),
                    Field.of("idleMillis", idleMillis));
        }
        return running;
    }
}
