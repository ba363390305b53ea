package dev.foxtailshed.kernel.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which writers are alive by whether the revisions of their records change.
 *
 * <p>Times are taken from the reader's clock only, so clocks need not be synchronized. A writer
 * counts as alive when it is first seen. Not thread-safe.
 */
public final class RevisionLivenessTracker {

    private final long timeoutMillis;
    private final Map<String, Observation> observations = new HashMap<>();

    /**
     * Creates a tracker.
     *
     * @param timeoutMillis the time without a change after which a writer no longer counts as alive
     */
    public RevisionLivenessTracker(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Updates the tracker with the current revisions and returns the writers that are alive.
     *
     * @param revisions the revision of each writer's record
     * @param nowMillis the current time
     * @return the names of the live writers in sorted order
     */
    public List<String> update(Map<String, Long> revisions, long nowMillis) {
        observations.keySet().retainAll(revisions.keySet());
        revisions.forEach(
                (name, revision) -> {
                    Observation previous = observations.get(name);
                    if (previous == null || previous.revision != revision) {
                        observations.put(name, new Observation(revision, nowMillis));
                    }
                });
        return observations.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().firstSeenMillis < timeoutMillis)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** A record's revision and the time at which it was first seen. */
    private record Observation(long revision, long firstSeenMillis) {}
}
