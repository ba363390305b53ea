package dev.foxtailshed.kernel.suspects;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Says which requests are suspected of crashing backend servers and which are refused for it.
 *
 * <p>Example: <code>suspects.apply(new SuspectChange.Crashed(digest, "d1", nowMillis))</code>.
 *
 * <p>Each crash of a backend server makes suspects of the requests that it ran. After a second
 * crash a request is refused; one that runs to its end is cleared, and any is forgotten in time.
 * Immutable and thread-safe.
 */
public final class Suspects {

    /** Nobody is suspected. */
    public static final Suspects NONE = new Suspects(Map.of());

    private static final int CRASHES_TO_REFUSE = 2;
    private static final int MAXIMUM_SUSPECTS = 1_000;

    private final Map<String, Suspect> byDigest;

    /**
     * A request and the crashes in which it took part.
     *
     * @param digest the digest of the request
     * @param crashes the names of the crashes
     * @param lastEpochMillis the time of the last of them
     */
    public record Suspect(String digest, Set<String> crashes, long lastEpochMillis) {
        /** Checks that no part is missing. */
        public Suspect {
            Objects.requireNonNull(digest, "digest");
            crashes = Set.copyOf(crashes);
        }
    }

    private Suspects(Map<String, Suspect> byDigest) {
        this.byDigest = Map.copyOf(byDigest);
    }

    /**
     * Takes over what was kept elsewhere.
     *
     * @param suspects the suspects
     * @return them
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
     * @return the suspects after it
     */
    public Suspects apply(SuspectChange change) {
        Map<String, Suspect> next = new HashMap<>(byDigest);
        if (change instanceof SuspectChange.Crashed crashed) {
            next.merge(
                    crashed.digest(),
                    new Suspect(crashed.digest(), Set.of(crashed.crash()), crashed.epochMillis()),
                    Suspects::join);
        } else if (change instanceof SuspectChange.Cleared cleared) {
            next.remove(cleared.digest());
        }
        return new Suspects(next);
    }

    /**
     * Forgets those whose last crash is long ago, and the oldest of too many.
     *
     * @param oldestEpochMillis the last crash of those to keep is not older
     * @return the others
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
     * Tells whether a request took part in a crash.
     *
     * @param digest its digest
     * @return true after its first crash
     */
    public boolean isSuspect(String digest) {
        return byDigest.containsKey(digest);
    }

    /**
     * Tells whether a request must not run any more.
     *
     * @param digest its digest
     * @return true after its second crash
     */
    public boolean isRefused(String digest) {
        Suspect suspect = byDigest.get(digest);
        return suspect != null && suspect.crashes().size() >= CRASHES_TO_REFUSE;
    }

    /**
     * Returns all suspects.
     *
     * @return them, in no order
     */
    public Collection<Suspect> all() {
        return byDigest.values();
    }

    private static Suspect join(Suspect one, Suspect other) {
        Set<String> crashes = new TreeSet<>(one.crashes());
        crashes.addAll(other.crashes());
        return new Suspect(
                one.digest(), crashes, Math.max(one.lastEpochMillis(), other.lastEpochMillis()));
    }
}
