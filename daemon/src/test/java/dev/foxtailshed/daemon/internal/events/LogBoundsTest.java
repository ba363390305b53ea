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

/** Tests that the rate of log lines is limited and that logging does not block. */
class LogBoundsTest {

    @Test
    void eventsBeyondLimitAreCountedAndReportedByNextLine() {
        EventRateLimiter limiter = new EventRateLimiter();
        for (int i = 0; i < EventRateLimiter.LINES_PER_SECOND; i++) {
            assertThat(limiter.admit(EventCode.REQUEST_RETRIED, 0)).isZero();
        }
        assertThat(limiter.admit(EventCode.REQUEST_RETRIED, 0)).isEqualTo(-1);
        assertThat(limiter.admit(EventCode.REQUEST_RETRIED, 1)).isEqualTo(-1);
        assertThat(limiter.admit(EventCode.REQUEST_FAILED, 1)).isZero();
        assertThat(limiter.admit(EventCode.REQUEST_RETRIED, 1_000_000_000L)).isEqualTo(2);
        assertThat(limiter.admit(EventCode.REQUEST_RETRIED, 1_000_000_001L)).isZero();
    }

    @Test
    @Timeout(10)
    void stalledReaderDoesNotBlockWritersAndDroppedLinesAreReported() {
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
        AsyncLinePrinter printer =
                new AsyncLinePrinter(
                        new PrintStream(reader, true, StandardCharsets.UTF_8),
                        dropped -> "dropped " + dropped);
        long start = System.nanoTime();
        for (int i = 0; i < 10_000; i++) {
            printer.add("line " + i);
        }
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(2));

        stalled.countDown();
        printer.flush(5_000);
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
