package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Selects the prefill server that is expected to be free first.
 *
 * <p>When few prefill servers are left, prompts queue at them. Such a queue is served in order of
 * arrival and makes all of its prompts late. An entry therefore keeps only a limited number of
 * tokens in flight at each server; the other prompts wait at the entry, where those that can still
 * be in time go first.
 *
 * <p>Each of many entries has few tokens in flight, so their own counts alone would let them all
 * select the same server. The wait of the entry's last prompt at a server therefore counts too,
 * less the time since then, and ties are broken at random.
 *
 * <p>At some servers the handles expire before they can be used, so every prompt processed there is
 * wasted. Such a server is excluded, for longer each time, until one of its handles is used. Not
 * thread-safe.
 */
public final class PrefillServerSelector {

    /** Tokens added to the load of a server in another zone, so that ties stay in the zone. */
    private static final long OTHER_ZONE_PENALTY_TOKENS = 500;

    /** First exclusion of a server whose handles expire: the usual lifetime of a handle. */
    private static final long FIRST_EXCLUSION_MILLIS = 500;

    /** Maximum such exclusion; a server that has recovered must be found within seconds. */
    private static final long MAXIMUM_EXCLUSION_MILLIS = 2_000;

    private static final int MAXIMUM_DOUBLINGS = 10;

    private final String zone;
    private final DoubleSupplier millisPerToken;
    private final DoubleSupplier random;
    private final Map<Incarnation, Wait> lastWaits = new HashMap<>();
    private final Map<Incarnation, Long> tokensInFlight = new HashMap<>();
    private final Map<Incarnation, Exclusion> exclusions = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param zone the entry's availability zone
     * @param millisPerToken the prefill time per token
     * @param random random numbers in [0, 1), used to break ties
     */
    public PrefillServerSelector(
            String zone, DoubleSupplier millisPerToken, DoubleSupplier random) {
        this.zone = zone;
        this.millisPerToken = millisPerToken;
        this.random = random;
    }

    /**
     * Selects a server.
     *
     * @param servers the prefill servers
     * @param tried servers to leave out
     * @param healthRegistry the health of the servers
     * @param nowMillis the current time
     * @return the server, or empty if none is eligible
     */
    public Optional<DirectServer> choose(
            List<DirectServer> servers,
            Set<Incarnation> tried,
            ServerHealthRegistry healthRegistry,
            long nowMillis) {
        return selectFirstFree(eligible(servers, tried, healthRegistry, nowMillis), nowMillis);
    }

    /**
     * Claims prefill capacity for a prompt before decode capacity is reserved for it.
     *
     * @param servers the prefill servers
     * @param tried servers to leave out
     * @param healthRegistry the health of the servers
     * @param nowMillis the current time
     * @param prompt the prompt's size and the limit on tokens in flight at one server
     * @return the claim, or empty if the prompt has to wait
     */
    public Optional<Claim> claim(
            List<DirectServer> servers,
            Set<Incarnation> tried,
            ServerHealthRegistry healthRegistry,
            long nowMillis,
            Prompt prompt) {
        List<DirectServer> eligible = eligible(servers, tried, healthRegistry, nowMillis);
        if (eligible.isEmpty()) {
            return Optional.of(new Claim(Optional.empty()));
        }
        List<DirectServer> withCapacity =
                eligible.stream().filter(s -> hasCapacity(s, prompt)).toList();
        Optional<DirectServer> server = selectFirstFree(withCapacity, nowMillis);
        server.ifPresent(chosen -> recordStart(chosen, prompt.tokens()));
        return server.map(chosen -> new Claim(server));
    }

    /**
     * The size of a prompt and the limit that applies to it.
     *
     * @param tokens the number of tokens in the prompt
     * @param limitTokens the maximum number of this entry's tokens in flight at one server; a
     *     single prompt may be larger
     */
    public record Prompt(long tokens, long limitTokens) {}

    /**
     * A claim on prefill capacity.
     *
     * @param server the server that will process the prompt; empty if no prefill server is eligible
     */
    public record Claim(Optional<DirectServer> server) {}

    private boolean hasCapacity(DirectServer server, Prompt prompt) {
        long inFlight = tokensInFlight(server);
        return inFlight == 0 || inFlight + prompt.tokens() <= prompt.limitTokens();
    }

    private List<DirectServer> eligible(
            List<DirectServer> servers,
            Set<Incarnation> tried,
            ServerHealthRegistry healthRegistry,
            long nowMillis) {
        return servers.stream()
                .filter(server -> !tried.contains(server.incarnation()))
                .filter(server -> !isExcluded(server, nowMillis))
                .filter(server -> healthRegistry.get(server).isEligible(nowMillis))
                .toList();
    }

    private Optional<DirectServer> selectFirstFree(List<DirectServer> servers, long nowMillis) {
        DirectServer best = null;
        double bestMillis = Double.MAX_VALUE;
        int ties = 0;
        for (DirectServer server : servers) {
            double millis = expectedWaitMillis(server, nowMillis);
            ties = millis < bestMillis ? 1 : ties + (millis == bestMillis ? 1 : 0);
            boolean winsTie = millis == bestMillis && random.getAsDouble() * ties < 1;
            if (millis < bestMillis || winsTie) {
                best = server;
                bestMillis = millis;
            }
        }
        return Optional.ofNullable(best);
    }

    private double expectedWaitMillis(DirectServer server, long nowMillis) {
        long ownTokens =
                tokensInFlight(server)
                        + (server.zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY_TOKENS);
        Wait last = lastWaits.get(server.incarnation());
        long remainingMillis =
                last == null ? 0 : Math.max(0, last.millis - (nowMillis - last.endMillis));
        return ownTokens * millisPerToken.getAsDouble() + remainingMillis;
    }

    private long tokensInFlight(DirectServer server) {
        return tokensInFlight.getOrDefault(server.incarnation(), 0L);
    }

    /**
     * Records how long a prompt took.
     *
     * @param server the server that processed it
     * @param promptTokens the size of the prompt
     * @param tookMillis the time from sending the prompt to receiving the handle
     * @param nowMillis the current time
     */
    public void recordPrefill(
            DirectServer server, long promptTokens, long tookMillis, long nowMillis) {
        long workMillis = (long) (promptTokens * millisPerToken.getAsDouble());
        lastWaits.put(
                server.incarnation(), new Wait(Math.max(0, tookMillis - workMillis), nowMillis));
    }

    /**
     * Records that the decode server refused a handle that it should have used.
     *
     * @param server the server that processed the prompt
     * @param nowMillis the current time
     */
    public void recordExpiredHandle(DirectServer server, long nowMillis) {
        Exclusion previous = exclusions.getOrDefault(server.incarnation(), new Exclusion(0, 0));
        long exclusionMillis =
                FIRST_EXCLUSION_MILLIS
                        << Math.min(MAXIMUM_DOUBLINGS, previous.consecutiveExpirations);
        exclusions.put(
                server.incarnation(),
                new Exclusion(
                        previous.consecutiveExpirations + 1,
                        nowMillis + Math.min(MAXIMUM_EXCLUSION_MILLIS, exclusionMillis)));
    }

    /**
     * Records that a handle was used.
     *
     * @param server the server that processed the prompt
     */
    public void recordUsedHandle(DirectServer server) {
        exclusions.remove(server.incarnation());
    }

    /**
     * Discards the state of removed servers.
     *
     * @param usable the servers that may get requests
     */
    public void retain(List<DirectServer> usable) {
        List<Incarnation> kept = usable.stream().map(DirectServer::incarnation).toList();
        exclusions.keySet().retainAll(kept);
        lastWaits.keySet().retainAll(kept);
    }

    private boolean isExcluded(DirectServer server, long nowMillis) {
        Exclusion exclusion = exclusions.get(server.incarnation());
        return exclusion != null && nowMillis < exclusion.endMillis;
    }

    /** How long the last prompt waited at a server, and when it was finished. */
    private record Wait(long millis, long endMillis) {}

    /**
     * Number of consecutive expired handles of a server, and the time until which it is excluded.
     */
    private record Exclusion(int consecutiveExpirations, long endMillis) {}

    /**
     * Records that a prompt was sent to a server or has a claim on it.
     *
     * @param server the server
     * @param promptTokens the size of the prompt
     */
    public void recordStart(DirectServer server, long promptTokens) {
        tokensInFlight.merge(server.incarnation(), promptTokens, Long::sum);
    }

    /**
     * Records that a prompt is no longer in flight at a server.
     *
     * @param server the server
     * @param promptTokens the size of the prompt
     */
    public void recordEnd(DirectServer server, long promptTokens) {
        tokensInFlight.computeIfPresent(
                server.incarnation(),
                (key, inFlight) -> inFlight > promptTokens ? inFlight - promptTokens : null);
    }
}
