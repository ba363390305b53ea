package dev.foxtailshed.cli.internal;

import java.util.concurrent.TimeUnit;

/** A monotonic clock and the pauses between calls; replaced in tests. */
public interface PollTimer {

    /**
     * Returns the current monotonic time.
     *
     * @return milliseconds since an arbitrary origin
     */
    long nowMillis();

    /**
     * Waits for the given time; returns early if the thread is interrupted.
     *
     * @param millis the time to wait in milliseconds
     */
    void sleep(long millis);

    /**
     * Returns a timer that uses the system clock.
     *
     * @return a timer that sleeps on the calling thread
     */
    static PollTimer ofSystem() {
        return new SystemTimer();
    }

    /** Reads the system clock and sleeps on the calling thread. */
    final class SystemTimer implements PollTimer {
        private SystemTimer() {}

        @Override
        public long nowMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public void sleep(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
