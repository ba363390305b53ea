package dev.foxtailshed.kernel.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells which writers live by whether their records change, on the reader's own clock.
 *
 * <p>Needs no agreement on the time of day. A writer counts as alive when it is first seen. Not
 * thread-safe.
 */
public final class RevisionLivenessTracker {

    private final long silenceMillis;
    private final Map<String, Seen> seen = new HashMap<>();

    /**
     * Creates the judge.
     *
     * @param silenceMillis the time without a change after which a writer counts as gone
     */
    public RevisionLivenessTracker(long silenceMillis) {
        this.silenceMillis = silenceMillis;
    }

    /**
     * Takes what was read.
     *
     * @param revisions the revision of each writer's record
     * @param nowMillis the time
     * @return the writers that live, in order of their names
     */
    public List<String> update(Map<String, Long> revisions, long nowMillis) {
        seen.keySet().retainAll(revisions.keySet());
        revisions.forEach(
                (name, revision) -> {
                    Seen before = seen.get(name);
                    if (before == null || before.revision != revision) {
                        seen.put(name, new Seen(revision, nowMillis));
                    }
                });
        return seen.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().sinceMillis < silenceMillis)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** A record as it was first seen at a revision. */
    private record Seen(long revision, long sinceMillis) {}
}
