package dev.foxtailshed.daemon.internal.platform;

import java.util.List;
import java.util.Optional;

/**
 * The platform's list of instances as an entry read it, for use while the store is unavailable.
 *
 * @param asOfEpochMillis when the list was first read with this content, zero if never
 * @param instances the instances
 */
public record InstanceListing(long asOfEpochMillis, List<PlatformInstance> instances) {

    /** The empty list, used before the first read. */
    public static final InstanceListing NONE = new InstanceListing(0, List.of());

    /** Makes the list of instances unmodifiable. */
    public InstanceListing {
        instances = List.copyOf(instances);
    }

    /**
     * Parses a list received from another instance.
     *
     * @param asOfEpochMillis when the list was first read with this content
     * @param document the list in the platform's JSON format
     * @return the list, or empty if the document is invalid
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
     * Returns the list after another read from the platform.
     *
     * @param read the instances that were read
     * @param nowEpochMillis the time of the read
     * @return this list if its content is the same, so that its time stays, or else a new one
     */
    public InstanceListing updatedWith(List<PlatformInstance> read, long nowEpochMillis) {
        return read.equals(instances) && asOfEpochMillis > 0
                ? this
                : new InstanceListing(nowEpochMillis, read);
    }

    /**
     * Returns the document to send to other instances.
     *
     * @return the list in the platform's JSON format
     */
    public byte[] toBytes() {
        return PlatformJson.toBytes(instances);
    }
}
