package dev.foxtailshed.kernel.record;

import java.util.Objects;

/**
 * Names the chain of batches that one incarnation of one instance writes.
 *
 * @param side entry or sidecar
 * @param instance the name of the entry, or of the backend server beside the sidecar
 * @param incarnation the random number of that start, in hexadecimal
 */
public record RecordChainId(Side side, String instance, String incarnation)
        implements Comparable<RecordChainId> {

    /** Who writes a chain. */
    public enum Side {
        /** Entries write what callers were told. */
        ENTRY,
        /** Sidecars write what ran. */
        SIDECAR
    }

    /** Checks that no part is missing. */
    public RecordChainId {
        Objects.requireNonNull(side, "side");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /**
     * Returns the start of the names of the chain's objects.
     *
     * @return the prefix with its slash
     */
    public String objectPrefix() {
        return "records/" + side.name().toLowerCase() + "/" + instance + "." + incarnation + "/";
    }

    @Override
    public int compareTo(RecordChainId other) {
        return objectPrefix().compareTo(other.objectPrefix());
    }

    @Override
    public String toString() {
        return instance + "." + incarnation;
    }
}
