package dev.foxtailshed.kernel.suspects;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * The requests that are suspected of crashing backend servers.
 *
 * <p>Example: <code>suspects.apply(new SuspectChange.Crashed(digest, "d1", nowMillis))</code>.
 *
 * <p>A request that a backend server ran when it crashed becomes a suspect. After a second crash
 * the request is refused. A suspect that completes is cleared, and old suspects are removed.
 * Immutable and thread-safe.
 */
public final class Suspects {

    /** An instance without suspects. */
    public static final Suspects NONE = new Suspects(Map.of());

    private static final int CRASHES_TO_REFUSE = 2;
    private static final int MAXIMUM_SUSPECTS = 1_000;

    private final Map<String, Suspect> byDigest;

    /**
     * A request that ran during at least one crash.
     *
     * @param digest the digest of the request
     * @param crashes the ids of the crashes
     * @param lastEpochMillis the time of the last crash
     */
    public record Suspect(String digest, Set<String> crashes, long lastEpochMillis) {
        /** Checks the digest and copies the set. */
        public Suspect {
            Objects.requireNonNull(digest, "digest");
            crashes = Set.copyOf(crashes);
        }
    }

    private Suspects(Map<String, Suspect> byDigest) {
        this.byDigest = Map.copyOf(byDigest);
    }

    /**
     * Creates an instance from stored suspects.
     *
     * @param suspects the suspects
     * @return the instance
     */
    public static Suspects of(Collection<Suspect> suspects) {
        Map<String, Suspect> map = new HashMap<>();
        suspects.forEach(suspect -> map.put(suspect.digest(), suspect));
        return new Suspects(map);
    }

    /**
     * Applies a change.
     *
     * @param change the change
     * @return the suspects after the change
     */
    public Suspects apply(SuspectChange change) {
        Map<String, Suspect> next = new HashMap<>(byDigest);
        if (change instanceof SuspectChange.Crashed crashed) {
            next.merge(
                    crashed.digest(),
                    new Suspect(crashed.digest(), Set.of(crashed.crash()), crashed.epochMillis()),
                    Suspects::merge);
        } else if (change instanceof SuspectChange.Cleared cleared) {
            next.remove(cleared.digest());
        }
        return new Suspects(next);
    }

    /**
     * Removes the suspects whose last crash is too old, and the oldest ones beyond the maximum
     * number.
     *
     * @param oldestEpochMillis the earliest last crash of the suspects to keep
     * @return the remaining suspects
     */
    public Suspects withoutOlderThan(long oldestEpochMillis) {
        List<Suspect> kept =
                byDigest.values().stream()
                        .filter(suspect -> suspect.lastEpochMillis() >= oldestEpochMillis)
                        .sorted((a, b) -> Long.compare(b.lastEpochMillis(), a.lastEpochMillis()))
                        .limit(MAXIMUM_SUSPECTS)
                        .toList();
        return of(kept);
    }

    /**
     * Returns whether a request ran during a crash.
     *
     * @param digest the digest of the request
     * @return true after its first crash
     */
    public boolean isSuspect(String digest) {
        return byDigest.containsKey(digest);
    }

    /**
     * Returns whether a request must not run any more.
     *
     * @param digest the digest of the request
     * @return true after its second crash
     */
    public boolean isRefused(String digest) {
        Suspect suspect = byDigest.get(digest);
        return suspect != null && suspect.crashes().size() >= CRASHES_TO_REFUSE;
    }

    /**
     * Returns all suspects.
     *
     * @return the suspects in no particular order
     */
    public Collection<Suspect> all() {
        return byDigest.values();
    }

    private static Suspect merge(Suspect one, Suspect other) {
        Set<String> crashes = new TreeSet<>(one.crashes());
        crashes.addAll(other.crashes());
        return new Suspect(
                one.digest(), crashes, Math.max(one.lastEpochMillis(), other.lastEpochMillis()));
    }
}
