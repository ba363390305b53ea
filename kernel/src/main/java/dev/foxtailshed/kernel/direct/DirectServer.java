package dev.foxtailshed.kernel.direct;

import java.util.Optional;

/**
 * A backend server as described by its own entry in the platform's store.
 *
 * @param id the server's id, which may stay the same across restarts
 * @param startedEpochMillis the start time of this incarnation
 * @param service the name of the server's service
 * @param address the IP address and port
 * @param zone the server's availability zone
 * @param slots the number of requests that the server runs concurrently
 * @param draining whether the server accepts no new requests
 * @param stage the stage of a model server; empty for plain servers
 * @param coldRemainingMillis how much longer the server runs slowly after its start
 */
public record DirectServer(
        String id,
        long startedEpochMillis,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        Optional<Stage> stage,
        long coldRemainingMillis) {

    /** The part of a request that a model server processes. */
    public enum Stage {
        /** The server processes prompts. */
        PREFILL,
        /** The server generates tokens. */
        DECODE
    }

    /**
     * Returns a copy of this server with another stage.
     *
     * @param newStage the stage of the copy
     * @return the copy
     */
    public DirectServer withStage(Stage newStage) {
        return new DirectServer(
                id,
                startedEpochMillis,
                service,
                address,
                zone,
                slots,
                draining,
                Optional.of(newStage),
                coldRemainingMillis);
    }

    /**
     * Returns the identity of this incarnation of the server.
     *
     * @return the server's id and start time
     */
    public Incarnation incarnation() {
        return new Incarnation(id, startedEpochMillis);
    }

    /**
     * Identifies one run of a server, from its start to its end.
     *
     * @param id the server's id
     * @param startedEpochMillis the start time
     */
    public record Incarnation(String id, long startedEpochMillis) {}
}
