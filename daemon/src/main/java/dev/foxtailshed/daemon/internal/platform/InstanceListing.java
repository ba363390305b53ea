package dev.foxtailshed.daemon.internal.platform;

import java.util.List;
import java.util.Optional;

/**
 * The platform's list of instances as an entry read it, to be handed on while the store is out.
 *
 * @param asOfEpochMillis when it was first read so, zero for none
 * @param instances the instances
 */
public record InstanceListing(long asOfEpochMillis, List<PlatformInstance> instances) {

    /** The list of an entry that has read none. */
    public static final InstanceListing NONE = new InstanceListing(0, List.of());

    /** Copies the list. */
    public InstanceListing {
        instances = List.copyOf(instances);
    }

    /**
     * Reads the form that goes over the wire.
     *
     * @param asOfEpochMillis when the list was first read so
     * @param document the list in the platform's form
     * @return the list, or nothing if it cannot be read
     */
    public static Optional<InstanceListing> parse(long asOfEpochMillis, byte[] document) {
        try {
            return Optional.of(
                    new InstanceListing(asOfEpochMillis, PlatformJson.toInstances(document)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Takes a list that was read from the platform; the same list keeps its time.
     *
     * @param read what was read
     * @param nowEpochMillis the time
     * @return the list to keep
     */
    public InstanceListing afterRead(List<PlatformInstance> read, long nowEpochMillis) {
        return read.equals(instances) && asOfEpochMillis > 0
                ? this
                : new InstanceListing(nowEpochMillis, read);
    }

    /**
     * Writes the form that goes over the wire.
     *
     * @return the list in the platform's form
     */
    public byte[] toBytes() {
        return PlatformJson.toBytes(instances);
    }
}
