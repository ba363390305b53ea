package dev.foxtailshed.daemon.internal.events;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/**
 * Prints lines on a separate thread, so that a blocked output does not block the callers.
 *
 * <p>The queue is bounded. Lines that do not fit are dropped and counted, and the number is printed
 * before the next line. Thread-safe.
 */
final class AsyncLinePrinter {

    /** Lines queued while the output is blocked; a few hundred kilobytes. */
    private static final int CAPACITY_LINES = 2_048;

    private final PrintStream out;
    private final LongFunction<String> droppedLineFormatter;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY_LINES);
    private final AtomicLong acceptedCount = new AtomicLong();
    private final AtomicLong printedCount = new AtomicLong();
    private final AtomicLong droppedCount = new AtomicLong();

    /**
     * Creates a printer and starts its thread.
     *
     * @param out where lines are printed
     * @param droppedLineFormatter formats the line that reports the number of dropped lines
     */
    AsyncLinePrinter(PrintStream out, LongFunction<String> droppedLineFormatter) {
        this.out = out;
        this.droppedLineFormatter = droppedLineFormatter;
        Thread thread = new Thread(this::printLines, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a line, or drops it if the queue is full. */
    void add(String line) {
        acceptedCount.incrementAndGet();
        if (!lines.offer(line)) {
            acceptedCount.decrementAndGet();
            droppedCount.incrementAndGet();
        }
    }

    /** Waits until all lines queued so far are printed or the timeout has passed. */
    void flush(long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long target = acceptedCount.get();
        while (printedCount.get() < target && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        out.flush();
    }

    private void printLines() {
        while (true) {
            try {
                String line = lines.take();
                long droppedLines = droppedCount.getAndSet(0);
                if (droppedLines > 0) {
                    out.println(droppedLineFormatter.apply(droppedLines));
                }
                out.println(line);
                printedCount.incrementAndGet();
            } catch (InterruptedException e) {
                // The thread is interrupted only at the end of the process.
                return;
            }
        }
    }
}
