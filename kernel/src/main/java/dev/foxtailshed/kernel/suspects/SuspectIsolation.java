package dev.foxtailshed.kernel.suspects;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Limits each backend server to one suspect at a time, so that another crash can be attributed to
 * that suspect.
 *
 * <p>Otherwise the other requests of a crashed server would be retried next to the one that caused
 * the crash, take part in its second crash and be refused with it. Thread-safe.
 */
public final class SuspectIsolation {

    /** How long after a crash other requests of the server are not suspected of it. */
    private static final long ATTRIBUTION_MILLIS = 5_000;

    private final Map<String, String> digestByServer = new HashMap<>();
    private final Map<String, Attribution> attributionByServer = new HashMap<>();

    private record Attribution(String digest, long untilMillis) {}

    /**
     * Returns the servers that run a suspect.
     *
     * @return the names of the servers
     */
    public synchronized Set<String> servers() {
        return Set.copyOf(digestByServer.keySet());
    }

    /**
     * Marks a server as running a suspect, unless it runs another one.
     *
     * @param server the name of the backend server that is to run it
     * @param digest the digest of the suspect
     * @return false if the server runs another suspect
     */
    public synchronized boolean tryStart(String server, String digest) {
        Objects.requireNonNull(digest, "digest");
        return digest.equals(digestByServer.merge(server, digest, (current, requested) -> current));
    }

    /**
     * Removes the mark of a server that ran a suspect.
     *
     * @param server the name of the backend server
     * @param digest the digest of the suspect
     */
    public synchronized void finish(String server, String digest) {
        digestByServer.remove(server, digest);
    }

    /**
     * Returns whether a request may have caused a crash. If the server ran a suspect, only that
     * suspect may have.
     *
     * @param server the name of the backend server that crashed
     * @param digest the digest of a request that it ran
     * @param nowMillis the current time
     * @return whether the request becomes a suspect
     */
    public synchronized boolean mayHaveCausedCrash(String server, String digest, long nowMillis) {
        String isolated = digestByServer.get(server);
        if (isolated != null) {
            attributionByServer.put(
                    server, new Attribution(isolated, nowMillis + ATTRIBUTION_MILLIS));
        }
        return Optional.ofNullable(attributionByServer.get(server))
                .filter(attribution -> attribution.untilMillis() > nowMillis)
                .map(attribution -> attribution.digest().equals(digest))
                .orElse(true);
    }
}
