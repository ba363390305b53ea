package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.SteppedTimerService;
import dev.foxtailshed.kernel.TimerService;
import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Tests that a loop or a timer that runs nothing any more is detected. */
class LoopMonitorTest {

    private final SteppedTimerService timer = new SteppedTimerService();
    private final Queue<Runnable> loop = new ArrayDeque<>();
    private final LoopMonitor monitor = new LoopMonitor(timer, loop::add);

    @Test
    void loopThatRunsItsTasksIsRunning() {
        monitor.start();
        for (int i = 0; i < 20; i++) {
            timer.advance(1_000);
            runLoop();
            assertThat(monitor.isRunning()).isTrue();
        }
    }

    /** Guards against an entry that says it is ready while its loop is stuck. */
    @Test
    void loopThatRunsNoTaskIsStalledUntilItRunsAgain() {
        monitor.start();
        timer.advance(1_000);
        assertThat(monitor.isRunning()).isTrue();
        timer.advance(LoopMonitor.STALL_MILLIS);
        assertThat(monitor.isRunning()).isFalse();
        assertThat(loop).as("tasks of the monitor do not pile up").hasSize(1);

        runLoop();
        assertThat(monitor.isRunning()).isTrue();
    }

    /** Guards against a timer that has ended, without which no deadline takes effect. */
    @Test
    void loopWithoutTimerIsStalled() {
        LoopMonitor withoutTimer = new LoopMonitor(new EndedTimer(), Runnable::run);
        withoutTimer.start();

        timer.advance(LoopMonitor.STALL_MILLIS + 1);

        assertThat(withoutTimer.isRunning()).isFalse();
    }

    private void runLoop() {
        while (!loop.isEmpty()) {
            loop.remove().run();
        }
    }

    /** A timer whose clock goes on but which runs no task. */
    private final class EndedTimer implements TimerService {
        @Override
        public long nowMillis() {
            return timer.nowMillis();
        }

        @Override
        public Subscription once(long delayMillis, Runnable task) {
            return () -> {};
        }

        @Override
        public Subscription every(long periodMillis, Runnable task) {
            return () -> {};
        }
    }
}
