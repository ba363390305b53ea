package dev.foxtailshed.daemon.internal.platform;

import java.util.List;

/**
 * One page of a list of objects.
 *
 * @param objects the objects, ordered by name
 * @param more whether there are further pages
 */
public record ObjectListing(List<Entry> objects, boolean more) {

    /**
     * The metadata of a listed object.
     *
     * @param name its name
     * @param version its version
     * @param sizeBytes the size of its body
     */
    public record Entry(String name, long version, long sizeBytes) {}
}
