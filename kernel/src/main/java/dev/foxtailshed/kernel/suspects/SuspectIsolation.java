package dev.foxtailshed.kernel.suspects;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Lets each backend server run one suspect at a time, so that a further crash has one culprit.
 *
 * <p>Without that, the innocent requests of a crashed server would be retried beside the guilty one
 * and take part in its second crash. Thread-safe.
 */
public final class SuspectIsolation {

    private static final long BLAME_MILLIS = 5_000;

    private final Map<String, String> digestByServer = new HashMap<>();
    private final Map<String, Blame> blameByServer = new HashMap<>();

    private record Blame(String digest, long untilMillis) {}

    /**
     * Returns the servers that run a suspect.
     *
     * @return their names
     */
    public synchronized Set<String> servers() {
        return Set.copyOf(digestByServer.keySet());
    }

    /**
     * Begins the trial of a suspect.
     *
     * @param server the backend server that is to run it
     * @param digest the digest of the suspect
     * @return false if the server runs another suspect
     */
    public synchronized boolean tryStart(String server, String digest) {
        Objects.requireNonNull(digest, "digest");
        return digest.equals(digestByServer.merge(server, digest, (held, ours) -> held));
    }

    /**
     * Ends the trial of a suspect.
     *
     * @param server the backend server
     * @param digest the digest of the suspect
     */
    public synchronized void finish(String server, String digest) {
        digestByServer.remove(server, digest);
    }

    /**
     * Tells whether a request is to be suspected for a crash; if a suspect was on trial there, only
     * that one is.
     *
     * @param server the backend server that crashed
     * @param digest the digest of a request that it ran
     * @param nowMillis the time
     * @return whether the request may be the cause
     */
    public synchronized boolean mayHaveCausedCrash(String server, String digest, long nowMillis) {
        String onTrial = digestByServer.get(server);
        if (onTrial != null) {
            blameByServer.put(server, new Blame(onTrial, nowMillis + BLAME_MILLIS));
        }
        return Optional.ofNullable(blameByServer.get(server))
                .filter(blame -> blame.untilMillis() > nowMillis)
                .map(blame -> blame.digest().equals(digest))
                .orElse(true);
    }
}
