package dev.foxtailshed.harness;

import java.util.function.BooleanSupplier;

/** Waits for conditions by polling them every 20 ms. */
public final class Waiting {

    private static final long POLL_MILLIS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private Waiting() {}

    /**
     * Waits until a condition is true.
     *
     * @param description the condition in words, for the error message
     * @param limitMillis the longest wait
     * @return the time waited, in milliseconds
     * @throws AssertionError if the condition is still false after the limit
     */
    public static long await(String description, long limitMillis, BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        while (true) {
            long tookMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
            if (condition.getAsBoolean()) {
                return tookMillis;
            }
            if (tookMillis > limitMillis) {
                throw new AssertionError(
                        "not reached within " + limitMillis + " ms: " + description);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
