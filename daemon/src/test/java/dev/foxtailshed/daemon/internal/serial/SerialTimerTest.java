package dev.foxtailshed.daemon.internal.serial;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.SteppedTimerService;
import dev.foxtailshed.kernel.TimerService.Subscription;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests delayed tasks of an executor that is busy when they become due. */
class SerialTimerTest {

    private static final long DELAY_MILLIS = 150;

    private final SteppedTimerService timer = new SteppedTimerService();
    private final SerialExecutor executor = new SerialExecutor(Runnable::run);
    private final SerialTimer serialTimer = new SerialTimer(timer, executor);
    private final List<String> ran = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(longs = {-1, 0, DELAY_MILLIS})
    void taskRunsOnceAfterItsDelay(long delayMillis) {
        serialTimer.once(delayMillis, () -> ran.add("timeout"));

        timer.advance(Math.max(0, delayMillis - 1));
        assertThat(ran).hasSize(delayMillis > 0 ? 0 : 1);
        timer.advance(DELAY_MILLIS);
        assertThat(ran).containsExactly("timeout");
    }

    /**
     * Guards against a timeout that is handled after the reply that cancelled it, since both became
     * due while the executor was busy for 200 ms.
     */
    @Test
    void cancelledTaskThatAlreadyWaitsInTheExecutorDoesNotRun() {
        Subscription timeout = serialTimer.once(DELAY_MILLIS, () -> ran.add("timeout"));
        executor.execute(
                () -> {
                    executor.execute(
                            () -> {
                                ran.add("reply");
                                timeout.cancel();
                            });
                    timer.advance(200);
                });

        assertThat(ran).containsExactly("reply");
    }

    @Test
    void cancelledTaskIsNotPassedToTheExecutor() {
        SerialTimer failing =
                new SerialTimer(
                        timer,
                        task -> {
                            throw new AssertionError("the task was cancelled");
                        });
        failing.once(DELAY_MILLIS, () -> ran.add("timeout")).cancel();

        timer.advance(DELAY_MILLIS);
        assertThat(ran).isEmpty();
    }
}
