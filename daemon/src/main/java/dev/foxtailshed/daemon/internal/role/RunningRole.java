package dev.foxtailshed.daemon.internal.role;

import java.net.InetSocketAddress;

/** A started role. */
public interface RunningRole {

    /**
     * Returns the address at which the role listens.
     *
     * @return the bound address
     */
    InetSocketAddress address();

    /**
     * Refuses new work, waits for the work in flight up to the drain time, then releases all
     * resources.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    void drainAndClose() throws InterruptedException;
}
