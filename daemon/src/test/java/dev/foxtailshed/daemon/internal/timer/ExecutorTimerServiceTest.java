package dev.foxtailshed.daemon.internal.timer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that no failure of a periodic task stops its next periods. */
class ExecutorTimerServiceTest {

    /** Guards against periodic work that silently ends after an Error. */
    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, OutOfMemoryError.class})
    @Timeout(10)
    void failedPeriodicTaskRunsAgain(Class<? extends Throwable> failure) throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        try (ExecutorTimerService timer = new ExecutorTimerService()) {
            timer.every(
                    1,
                    () -> {
                        runs.countDown();
                        throwUnchecked(failure);
                    });
            assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static void throwUnchecked(Class<? extends Throwable> failure) {
        if (failure == OutOfMemoryError.class) {
            throw new OutOfMemoryError("failed");
        }
        throw new IllegalStateException("failed");
    }
}
