package dev.foxtailshed.kernel.manifest;

import java.util.ArrayList;
import java.util.List;

/**
 * Verifies the digest chain of history entries.
 *
 * <p>Example: <code>ManifestHistory.verifyChain(entries).isEmpty()</code>. The chain of a part of
 * the history proves all its entries except the newest; {@link #verifyComplete} proves that one
 * too, by its separately stored digest, and that no entry is missing at either end.
 */
public final class ManifestHistory {

    private ManifestHistory() {}

    /**
     * Verifies that each entry follows its predecessor.
     *
     * @param entries the entries, oldest first; the list may begin after version 1
     * @return the broken links, empty if the chain is intact
     */
    public static List<BrokenLink> verifyChain(List<ManifestHistoryEntry> entries) {
        List<BrokenLink> broken = new ArrayList<>();
        if (!entries.isEmpty()) {
            verifyFirst(entries.get(0), broken);
        }
        for (int i = 1; i < entries.size(); i++) {
            verifyLink(entries.get(i - 1), entries.get(i), broken);
        }
        return List.copyOf(broken);
    }

    /**
     * Verifies a complete history: its chain, that it starts with the first entry, and its newest
     * entry.
     *
     * @param entries all entries, oldest first
     * @param newestEntryDigest the expected digest of the newest entry
     * @return the broken links, empty if the history is intact
     */
    public static List<BrokenLink> verifyComplete(
            List<ManifestHistoryEntry> entries, String newestEntryDigest) {
        List<BrokenLink> broken = new ArrayList<>(verifyChain(entries));
        if (!entries.isEmpty() && entries.get(0).version() != 1) {
            broken.add(new BrokenLink(entries.get(0).version(), "earlier entries are missing"));
        }
        String newestDigest = Digests.NONE;
        long newestVersion = 0;
        for (ManifestHistoryEntry entry : entries) {
            newestDigest = entry.digest();
            newestVersion = entry.version();
        }
        if (!newestDigest.equals(newestEntryDigest)) {
            broken.add(
                    new BrokenLink(
                            newestVersion,
                            "does not match the recorded digest of the newest entry"));
        }
        return List.copyOf(broken);
    }

    private static void verifyFirst(ManifestHistoryEntry first, List<BrokenLink> broken) {
        boolean namesNoPrevious = first.previousEntryDigest().equals(Digests.NONE);
        if (first.version() == 1 && !namesNoPrevious) {
            broken.add(
                    new BrokenLink(1, "the first entry contains the digest of a previous entry"));
        } else if (first.version() != 1 && namesNoPrevious) {
            broken.add(
                    new BrokenLink(
                            first.version(), "does not contain the digest of a previous entry"));
        }
    }

    private static void verifyLink(
            ManifestHistoryEntry previous, ManifestHistoryEntry next, List<BrokenLink> broken) {
        if (next.version() != previous.version() + 1) {
            String reason = "follows version " + previous.version();
            broken.add(new BrokenLink(next.version(), reason));
        }
        if (!next.previousEntryDigest().equals(previous.digest())) {
            String reason = "does not match the entry of version " + previous.version();
            broken.add(new BrokenLink(next.version(), reason));
        }
    }

    /**
     * A broken link between two entries.
     *
     * @param version the version of the later entry of the link
     * @param reason a human-readable phrase
     */
    public record BrokenLink(long version, String reason) {}
}
