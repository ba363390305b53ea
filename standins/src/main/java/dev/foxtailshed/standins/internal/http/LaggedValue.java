package dev.foxtailshed.standins.internal.http;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * A value that is read as it was a given time ago. Thread-safe.
 *
 * @param <T> the type of the value, immutable
 */
public final class LaggedValue<T> {

    private static final int MAXIMUM_SAMPLES = 5_000;

    private final ArrayDeque<Sample<T>> samples = new ArrayDeque<>();
    private final T initial;

    /**
     * Creates a value.
     *
     * @param initial the value before the first change
     */
    public LaggedValue(T initial) {
        this.initial = initial;
    }

    /**
     * Sets the current value.
     *
     * @param value the new value
     */
    public synchronized void set(T value) {
        if (!samples.isEmpty() && samples.getLast().value.equals(value)) {
            return;
        }
        samples.addLast(new Sample<>(System.nanoTime(), value));
        if (samples.size() > MAXIMUM_SAMPLES) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the value as it was a given time ago.
     *
     * @param lagMillis the age of the value; 0 for the current value
     * @return the value at that time
     */
    public synchronized T get(long lagMillis) {
        long thenNanos = System.nanoTime() - lagMillis * 1_000_000;
        Iterator<Sample<T>> newestFirst = samples.descendingIterator();
        while (newestFirst.hasNext()) {
            Sample<T> sample = newestFirst.next();
            if (sample.timeNanos - thenNanos <= 0) {
                return sample.value;
            }
        }
        return initial;
    }

    private record Sample<T>(long timeNanos, T value) {}
}
