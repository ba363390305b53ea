package dev.foxtailshed.daemon.internal.sidecar;

/**
 * The limits of one backend server. Log lines contain the names of this record and its components.
 *
 * @param slots the number of request slots
 * @param pieces the number of KV pieces, zero for plain services
 */
public record PoolLimits(int slots, int pieces) {

    /** The limits of a server that the manifest does not name. */
    public static final PoolLimits NONE = new PoolLimits(0, 0);
}
