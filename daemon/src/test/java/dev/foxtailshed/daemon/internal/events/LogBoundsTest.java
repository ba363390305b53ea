package dev.foxtailshed.daemon.internal.events;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that logging is bounded and stops nobody. */
class LogBoundsTest {

    @Test
    void eventBeyondItsLimitIsCountedAndReportedByTheNext() {
        EventRate rate = new EventRate();
        for (int i = 0; i < EventRate.LINES_PER_SECOND; i++) {
            assertThat(rate.admit(EventCode.REQUEST_RETRIED, 0)).isZero();
        }
        assertThat(rate.admit(EventCode.REQUEST_RETRIED, 0)).isEqualTo(-1);
        assertThat(rate.admit(EventCode.REQUEST_RETRIED, 1)).isEqualTo(-1);
        assertThat(rate.admit(EventCode.REQUEST_FAILED, 1)).isZero();
        assertThat(rate.admit(EventCode.REQUEST_RETRIED, 1_000_000_000L)).isEqualTo(2);
        assertThat(rate.admit(EventCode.REQUEST_RETRIED, 1_000_000_001L)).isZero();
    }

    @Test
    @Timeout(10)
    void stalledReaderStopsNobodyAndLosesAreTold() {
        CountDownLatch stalled = new CountDownLatch(1);
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        OutputStream reader =
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        awaitUninterruptibly(stalled);
                        printed.write(b);
                    }
                };
        LineQueue queue =
                new LineQueue(
                        new PrintStream(reader, true, StandardCharsets.UTF_8),
                        lost -> "dropped " + lost);
        long start = System.nanoTime();
        for (int i = 0; i < 10_000; i++) {
            queue.add("line " + i);
        }
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(2));

        stalled.countDown();
        queue.flush(5_000);
        assertThat(printed.toString(StandardCharsets.UTF_8)).contains("line 0", "dropped ");
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
