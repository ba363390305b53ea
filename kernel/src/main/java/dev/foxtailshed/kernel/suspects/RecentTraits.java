package dev.foxtailshed.kernel.suspects;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of traits that evicts those which have not been accessed for the longest time. Not
 * thread-safe.
 *
 * @param <V> what is remembered of a trait
 */
final class RecentTraits<V> extends LinkedHashMap<RequestTrait, V> {

    /**
     * Traits that are remembered, for crashes that are reported late and for requests that were
     * answered shortly before.
     */
    private static final int MAXIMUM_TRAITS = 4_096;

    private static final long serialVersionUID = 1L;

    RecentTraits() {
        super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<RequestTrait, V> eldest) {
        return size() > MAXIMUM_TRAITS;
    }
}
