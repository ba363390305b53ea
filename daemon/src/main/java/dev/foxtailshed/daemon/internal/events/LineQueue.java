package dev.foxtailshed.daemon.internal.events;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/**
 * Prints lines on a thread of its own, so that a reader who stalls stops nobody.
 *
 * <p>The queue is bounded: what does not fit is dropped and counted, and the next line that fits is
 * preceded by one that tells how many were dropped. Thread-safe.
 */
final class LineQueue {

    /** Lines kept while the reader stalls; a few hundred kilobytes. */
    private static final int CAPACITY = 2_048;

    private final PrintStream out;
    private final LongFunction<String> droppedLine;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong printed = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();

    /**
     * Starts the thread.
     *
     * @param out where lines are printed
     * @param droppedLine makes the line that tells how many were dropped
     */
    LineQueue(PrintStream out, LongFunction<String> droppedLine) {
        this.out = out;
        this.droppedLine = droppedLine;
        Thread thread = new Thread(this::print, "log");
        thread.setDaemon(true);
        thread.start();
    }

    void add(String line) {
        accepted.incrementAndGet();
        if (!lines.offer(line)) {
            accepted.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    /** Waits until all lines accepted so far are printed, or the time is over. */
    void flush(long timeoutMillis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long target = accepted.get();
        while (printed.get() < target && System.nanoTime() < endNanos) {
            Thread.onSpinWait();
        }
        out.flush();
    }

    private void print() {
        while (true) {
            try {
                String line = lines.take();
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    out.println(droppedLine.apply(lost));
                }
                out.println(line);
                printed.incrementAndGet();
            } catch (InterruptedException e) {
                // Nobody interrupts this thread but the end of the process.
                return;
            }
        }
    }
}
