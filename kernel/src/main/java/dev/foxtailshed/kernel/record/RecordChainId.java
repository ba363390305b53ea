package dev.foxtailshed.kernel.record;

import java.util.Objects;

/**
 * Identifies the chain of batches that one incarnation of an instance writes.
 *
 * @param side the role of the instance
 * @param instance the name of the entry, or of the sidecar's backend server
 * @param incarnation the random number that identifies the incarnation, in hexadecimal
 */
public record RecordChainId(Side side, String instance, String incarnation)
        implements Comparable<RecordChainId> {

    /** The role of the instance that writes a chain. */
    public enum Side {
        /** Entries record the outcomes reported to callers. */
        ENTRY,
        /** Sidecars record the runs at their backend servers. */
        SIDECAR
    }

    /** Checks that no component is null. */
    public RecordChainId {
        Objects.requireNonNull(side, "side");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /**
     * Returns the common prefix of the names of the chain's objects.
     *
     * @return the prefix, with a trailing slash
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
