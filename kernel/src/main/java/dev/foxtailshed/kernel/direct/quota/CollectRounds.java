package dev.foxtailshed.kernel.direct.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The rounds of collections of an entry, over all workspaces that it is the home of. Not
 * thread-safe.
 */
final class CollectRounds {

    private static final double INITIAL_ROUND_TRIP_MILLIS = 10;
    private static final double ROUND_TRIP_WEIGHT = 0.05;

    private final Map<String, Collect> inFlight = new HashMap<>();
    private boolean hasRound;
    private long lastMillis;
    private double roundTripMillis = INITIAL_ROUND_TRIP_MILLIS;

    /** Returns whether the last round is long enough ago. */
    boolean isDue(long nowMillis) {
        return !hasRound || nowMillis - lastMillis >= QuotaAccounts.COLLECT_INTERVAL_MILLIS;
    }

    /** Begins a round; a peer that has not answered in an earlier one is left out. */
    List<Collect> begin(List<String> peers, List<String> workspaces, long nowMillis) {
        hasRound = true;
        lastMillis = nowMillis;
        List<Collect> round = new ArrayList<>();
        for (String peer : peers) {
            Collect collect = new Collect(peer, workspaces, nowMillis);
            if (inFlight.putIfAbsent(peer, collect) == null) {
                round.add(collect);
            }
        }
        return round;
    }

    /** Records a reply; returns false if the request is no longer in flight. */
    boolean recordReply(Collect collect, long nowMillis) {
        if (!recordLost(collect)) {
            return false;
        }
        long millis = nowMillis - collect.sentMillis();
        roundTripMillis += ROUND_TRIP_WEIGHT * (millis - roundTripMillis);
        return true;
    }

    /** Records that there is no reply; returns false if the request is no longer in flight. */
    boolean recordLost(Collect collect) {
        return inFlight.remove(collect.peer(), collect);
    }

    /** Estimates the time until the next credit, of this round or the next one. */
    double nextMillis(long nowMillis) {
        long sinceMillis = nowMillis - lastMillis;
        boolean isInFlight = sinceMillis < 2 * roundTripMillis;
        boolean isNow = isInFlight || isDue(nowMillis);
        return roundTripMillis + (isNow ? 0 : QuotaAccounts.COLLECT_INTERVAL_MILLIS - sinceMillis);
    }

    /** Forgets the requests to peers that are gone. */
    void retain(Collection<String> peers) {
        inFlight.keySet().retainAll(peers);
    }
}
