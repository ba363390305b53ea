package dev.foxtailshed.kernel.direct;

import java.util.Optional;

/**
 * A backend server as it describes itself.
 *
 * @param id its identity, which may outlive a restart
 * @param startedEpochMillis when this incarnation started
 * @param service the service that it belongs to
 * @param address IP and port
 * @param zone its availability zone
 * @param slots how many requests it runs at once
 * @param draining whether it takes no new requests
 * @param stage the stage of a model server, absent for plain servers
 * @param coldRemainingMillis how much longer it runs slowly after its start
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

    /** The part of a request that a model server takes. */
    public enum Stage {
        /** The server reads prompts. */
        PREFILL,
        /** The server generates tokens. */
        DECODE
    }

    /**
     * Returns this server in another stage.
     *
     * @param other the other stage
     * @return the same server otherwise
     */
    public DirectServer withStage(Stage other) {
        return new DirectServer(
                id,
                startedEpochMillis,
                service,
                address,
                zone,
                slots,
                draining,
                Optional.of(other),
                coldRemainingMillis);
    }

    /**
     * Names this incarnation of the server.
     *
     * @return the identity together with the start time
     */
    public Incarnation incarnation() {
        return new Incarnation(id, startedEpochMillis);
    }

    /**
     * One life of a server.
     *
     * @param id the server's identity
     * @param startedEpochMillis when this life began
     */
    public record Incarnation(String id, long startedEpochMillis) {}
}
