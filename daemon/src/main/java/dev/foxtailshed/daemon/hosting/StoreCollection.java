package dev.foxtailshed.daemon.hosting;

/** The collections of the platform's store that Foxtailshed uses. */
public enum StoreCollection {
    /** The routing configuration; written by operators. */
    ROUTES,
    /** The backend servers; each entry is written by the server itself. */
    SERVERS,
    /** The leases that allow one entry at a time to send commands; written by entries. */
    LEASES,
    /** The entries of the deployment; each entry writes its own. */
    ENTRIES,
    /** The requests that crashed backend servers; written by entries. */
    CRASHES
}
