package dev.foxtailshed.daemon.hosting;

/** The collections of the platform's store that this product uses. */
public enum StoreCollection {
    /** The routing configuration, written by operators. */
    ROUTES,
    /** The backend servers, each written by the server itself. */
    SERVERS,
    /** The leases under which one entry at a time gives orders; written by entries. */
    LEASES,
    /** The entries, each written by itself. */
    ENTRIES,
    /** Requests that crashed backend servers; written by entries. */
    CRASHES
}
