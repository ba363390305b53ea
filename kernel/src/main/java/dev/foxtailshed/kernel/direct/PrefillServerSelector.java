package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Chooses the server that reads a prompt: the one that is expected to be free first.
 *
 * <p>Answers prompts that queue at the last prefill servers: a queue there is served in the order
 * of arrival and makes all of them late, so an entry keeps only a limited number of tokens under
 * way at each server, and the rest waits at the entry, where those that can be in time come first.
 *
 * <p>Also answers many entries that choose alike: each has little under way itself, so the wait
 * that its last prompt had at a server counts too, less the time since then, and equals are chosen
 * at random.
 *
 * <p>Also answers servers whose handles lapse before they can be used: each prompt that they read
 * is wasted. Such a server is left alone, for longer each time, until a handle of it is used. Not
 * thread-safe.
 */
public final class PrefillServerSelector {

    /** Tokens that a server in another zone counts as busier; a tie should stay in the zone. */
    private static final long OTHER_ZONE_TOKENS = 500;

    /** First time that a server with lapsing handles is left alone: a handle's usual life. */
    private static final long FIRST_PAUSE_MILLIS = 500;

    /** Longest such time; a server that is well again must be found within seconds. */
    private static final long LONGEST_PAUSE_MILLIS = 2_000;

    private static final int MOST_DOUBLINGS = 10;

    private final String zone;
    private final DoubleSupplier millisPerToken;
    private final DoubleSupplier random;
    private final Map<Incarnation, Wait> waits = new HashMap<>();
    private final Map<Incarnation, Long> tokens = new HashMap<>();
    private final Map<Incarnation, Lapses> lapses = new HashMap<>();

    /**
     * Creates the selector.
     *
     * @param zone the entry's availability zone
     * @param millisPerToken how long a server works on a token
     * @param random numbers from 0 up to but not including 1
     */
    public PrefillServerSelector(
            String zone, DoubleSupplier millisPerToken, DoubleSupplier random) {
        this.zone = zone;
        this.millisPerToken = millisPerToken;
        this.random = random;
    }

    /**
     * Chooses a server.
     *
     * @param servers the prefill servers
     * @param tried servers to leave out
     * @param board the servers' health
     * @param nowMillis the time
     * @return the server, or nothing if none is eligible
     */
    public Optional<DirectServer> choose(
            List<DirectServer> servers,
            Set<Incarnation> tried,
            ServerHealthRegistry board,
            long nowMillis) {
        return firstFree(eligible(servers, tried, board, nowMillis), nowMillis);
    }

    /**
     * Claims a place for a prompt before decode capacity is reserved for it.
     *
     * @param servers the prefill servers
     * @param tried servers to leave out
     * @param board the servers' health
     * @param nowMillis the time
     * @param prompt what is to be read, and how much may be under way at one server
     * @return the claim, or nothing if the prompt has to wait
     */
    public Optional<Claim> claim(
            List<DirectServer> servers,
            Set<Incarnation> tried,
            ServerHealthRegistry board,
            long nowMillis,
            Prompt prompt) {
        List<DirectServer> eligible = eligible(servers, tried, board, nowMillis);
        if (eligible.isEmpty()) {
            return Optional.of(new Claim(Optional.empty()));
        }
        List<DirectServer> withRoom = eligible.stream().filter(s -> hasRoom(s, prompt)).toList();
        Optional<DirectServer> server = firstFree(withRoom, nowMillis);
        server.ifPresent(chosen -> recordStart(chosen, prompt.tokens()));
        return server.map(chosen -> new Claim(server));
    }

    /**
     * A prompt that is to be read.
     *
     * @param tokens its size
     * @param limitTokens the most tokens of this entry that may be under way at one server; a
     *     single prompt may be larger
     */
    public record Prompt(long tokens, long limitTokens) {}

    /**
     * A place for a prompt.
     *
     * @param server the server that reads it, absent if no prefill server is eligible
     */
    public record Claim(Optional<DirectServer> server) {}

    private boolean hasRoom(DirectServer server, Prompt prompt) {
        long busy = busyTokens(server);
        return busy == 0 || busy + prompt.tokens() <= prompt.limitTokens();
    }

    private List<DirectServer> eligible(
            List<DirectServer> servers,
            Set<Incarnation> tried,
            ServerHealthRegistry board,
            long nowMillis) {
        return servers.stream()
                .filter(server -> !tried.contains(server.incarnation()))
                .filter(server -> !isAvoided(server, nowMillis))
                .filter(server -> board.get(server).isEligible(nowMillis))
                .toList();
    }

    private Optional<DirectServer> firstFree(List<DirectServer> servers, long nowMillis) {
        DirectServer best = null;
        double bestMillis = Double.MAX_VALUE;
        int equals = 0;
        for (DirectServer server : servers) {
            double millis = expectedWaitMillis(server, nowMillis);
            equals = millis < bestMillis ? 1 : equals + (millis == bestMillis ? 1 : 0);
            boolean drawn = millis == bestMillis && random.getAsDouble() * equals < 1;
            if (millis < bestMillis || drawn) {
                best = server;
                bestMillis = millis;
            }
        }
        return Optional.ofNullable(best);
    }

    private double expectedWaitMillis(DirectServer server, long nowMillis) {
        long own = busyTokens(server) + (server.zone().equals(zone) ? 0 : OTHER_ZONE_TOKENS);
        Wait last = waits.get(server.incarnation());
        long left = last == null ? 0 : Math.max(0, last.millis - (nowMillis - last.endMillis));
        return own * millisPerToken.getAsDouble() + left;
    }

    private long busyTokens(DirectServer server) {
        return tokens.getOrDefault(server.incarnation(), 0L);
    }

    /**
     * Notes how long a prompt took.
     *
     * @param server the server that read it
     * @param promptTokens its size
     * @param tookMillis the time from sending it to the handle
     * @param nowMillis the time
     */
    public void recordPrefill(
            DirectServer server, long promptTokens, long tookMillis, long nowMillis) {
        long work = (long) (promptTokens * millisPerToken.getAsDouble());
        waits.put(server.incarnation(), new Wait(Math.max(0, tookMillis - work), nowMillis));
    }

    /**
     * Notes that a handle was refused by the decode server that should have used it.
     *
     * @param server the server that read the prompt
     * @param nowMillis the time
     */
    public void recordExpiredHandle(DirectServer server, long nowMillis) {
        Lapses before = lapses.getOrDefault(server.incarnation(), new Lapses(0, 0));
        long pauseMillis = FIRST_PAUSE_MILLIS << Math.min(MOST_DOUBLINGS, before.inRow);
        lapses.put(
                server.incarnation(),
                new Lapses(
                        before.inRow + 1, nowMillis + Math.min(LONGEST_PAUSE_MILLIS, pauseMillis)));
    }

    /**
     * Leaves a server alone that was ordered to do something else.
     *
     * @param server the server
     * @param untilMillis when it may be chosen again
     */
    public void excludeUntil(DirectServer server, long untilMillis) {
        lapses.put(server.incarnation(), new Lapses(0, untilMillis));
    }

    /**
     * Notes that a handle was used.
     *
     * @param server the server that read the prompt
     */
    public void recordUsedHandle(DirectServer server) {
        lapses.remove(server.incarnation());
    }

    /**
     * Forgets servers that are gone.
     *
     * @param usable the servers that may get requests
     */
    public void retain(List<DirectServer> usable) {
        List<Incarnation> kept = usable.stream().map(DirectServer::incarnation).toList();
        lapses.keySet().retainAll(kept);
        waits.keySet().retainAll(kept);
    }

    private boolean isAvoided(DirectServer server, long nowMillis) {
        Lapses known = lapses.get(server.incarnation());
        return known != null && nowMillis < known.endMillis;
    }

    /** How long the last prompt waited at a server, and when it was read. */
    private record Wait(long millis, long endMillis) {}

    /** Handles of one server that lapsed in a row, and until when it is left alone. */
    private record Lapses(int inRow, long endMillis) {}

    /**
     * Notes that a prompt is being read.
     *
     * @param server the server
     * @param promptTokens its size
     */
    public void recordStart(DirectServer server, long promptTokens) {
        tokens.merge(server.incarnation(), promptTokens, Long::sum);
    }

    /**
     * Notes that a prompt is no longer being read.
     *
     * @param server the server
     * @param promptTokens its size
     */
    public void recordEnd(DirectServer server, long promptTokens) {
        tokens.computeIfPresent(
                server.incarnation(),
                (key, busy) -> busy > promptTokens ? busy - promptTokens : null);
    }
}
