package dev.foxtailshed.kernel.direct;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/**
 * Orders the entries for a task that only some of hundreds should do, such as a trial of requests
 * that may crash servers.
 *
 * <p>Uses rendezvous hashing: entries that know the same members agree without messages. Stateless.
 */
public final class EntryOrder {

    private EntryOrder() {}

    /**
     * Returns the rank of an entry for a task.
     *
     * @param labels the names of the task, such as the id of a server
     * @param self the address of the entry
     * @param others the addresses of the other live entries
     * @return the number of entries that come before it
     */
    public static int rank(Set<String> labels, String self, Collection<String> others) {
        long own = weight(labels, self);
        return (int) others.stream().filter(other -> weight(labels, other) > own).count();
    }

    /**
     * Returns the entry that comes before all others for a task.
     *
     * @param labels the names of the task, such as the name of a workspace
     * @param entries the addresses of the entries
     * @return the address of the first entry; empty if there are no entries
     */
    public static Optional<String> first(Set<String> labels, Collection<String> entries) {
        return entries.stream()
                .max(
                        Comparator.<String>comparingLong(entry -> weight(labels, entry))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static long weight(Set<String> labels, String entry) {
        // The finalizer of SplitMix64; the hash of a set does not depend on its order.
        long hash = ((long) labels.hashCode() << Integer.SIZE) ^ entry.hashCode();
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
