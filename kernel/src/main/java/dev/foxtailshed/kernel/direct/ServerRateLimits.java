package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Keeps the requests to each server within the rate that the server takes from all entries
 * together, if it names one.
 *
 * <p>Load pattern: a few servers of a service take less than their share of the traffic, and tell
 * this in their responses, while each entry sees only its own requests. The rate is divided evenly
 * among the live entries, without messages between them. If there are more entries than the rate
 * allows, only as many as it allows send to the server; they are the same at all entries, by
 * rendezvous hashing.
 *
 * <p>All calls to a server count, but only placement asks whether a server has capacity: calls that
 * belong to a request which the server already has may exceed the share, and the next requests wait
 * until that is made up. A server that has not told its rate for a while gets a single request, as
 * it may no longer have one. Thread-safe.
 */
public final class ServerRateLimits {

    /** Smallest useful share of an entry: one request in two seconds. */
    private static final double MINIMUM_SHARE_PER_SECOND = 0.5;

    /**
     * Time for which an entry may save up its share, so that requests need not be evenly spaced.
     */
    private static final double BURST_SECONDS = 0.4;

    /** Part of the rate that may be spent on finding out whether a limit still holds. */
    private static final double RECHECK_FRACTION = 0.25;

    /** Smallest rate in the calculation of the time until a limit is checked again. */
    private static final double MINIMUM_RECHECK_RATE = 0.1;

    private static final long MINIMUM_RECHECK_MILLIS = 10_000;
    private static final long MAXIMUM_RECHECK_MILLIS = 3_600_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private final IntSupplier entryCount;
    private final ToIntFunction<String> rank;
    private final Map<Incarnation, Limit> limits = new HashMap<>();

    /**
     * Creates an instance without limits.
     *
     * @param entryCount the number of live entries, at least 1
     * @param rank the number of entries that come before this one in the order for a server's id
     */
    public ServerRateLimits(IntSupplier entryCount, ToIntFunction<String> rank) {
        this.entryCount = entryCount;
        this.rank = rank;
    }

    /** What a response changed about a server's limit. */
    public enum Change {
        /** The server is limited now, or to another rate. */
        LIMITED,
        /** The server is no longer limited. */
        UNLIMITED,
        /** Nothing has changed. */
        NONE
    }

    /**
     * Parses a rate.
     *
     * @param text a decimal number without a sign or an exponent
     * @return the rate, empty if the text is no such number
     */
    public static OptionalDouble parseRate(String text) {
        return DECIMAL.matcher(text.trim()).matches()
                ? OptionalDouble.of(Double.parseDouble(text.trim()))
                : OptionalDouble.empty();
    }

    /**
     * Records a response of a server.
     *
     * @param server the server
     * @param requestsPerSecond the rate that the response names; empty if it names none
     * @param sentMillis when the request was sent; a response to a request that was sent before the
     *     server named its limit does not end the limit
     * @param nowMillis the current time
     * @return what has changed
     */
    public synchronized Change recordResponse(
            DirectServer server,
            OptionalDouble requestsPerSecond,
            long sentMillis,
            long nowMillis) {
        Limit limit = limits.get(server.incarnation());
        if (requestsPerSecond.isEmpty()) {
            if (limit == null || sentMillis < limit.namedMillis) {
                return Change.NONE;
            }
            limits.remove(server.incarnation());
            return Change.UNLIMITED;
        }
        double rate = requestsPerSecond.getAsDouble();
        if (limit == null) {
            limits.put(server.incarnation(), new Limit(rate, nowMillis));
            return Change.LIMITED;
        }
        limit.refill(share(server, limit), nowMillis);
        limit.heardMillis = nowMillis;
        boolean changed = limit.rate != rate;
        limit.rate = rate;
        return changed ? Change.LIMITED : Change.NONE;
    }

    /**
     * Records a request or another call to a server.
     *
     * @param server the server
     * @param nowMillis the current time
     */
    public synchronized void recordSent(DirectServer server, long nowMillis) {
        Limit limit = limits.get(server.incarnation());
        if (limit != null) {
            refill(server, limit, nowMillis);
            limit.tokens--;
        }
    }

    /**
     * Returns the servers that may get another request of this entry.
     *
     * @param servers the servers to choose from
     * @param nowMillis the current time
     * @return those without a limit, and those whose limit allows a request now
     */
    public synchronized List<DirectServer> withCapacity(
            List<DirectServer> servers, long nowMillis) {
        if (limits.isEmpty()) {
            return servers;
        }
        return servers.stream().filter(server -> hasCapacity(server, nowMillis)).toList();
    }

    /**
     * Returns the time until one of several servers may get another request.
     *
     * @param servers the servers, of which none may get a request now
     * @param nowMillis the current time
     * @return milliseconds, at most the time after which a limit is checked again
     */
    public synchronized long waitMillis(List<DirectServer> servers, long nowMillis) {
        return servers.stream()
                .filter(server -> limits.containsKey(server.incarnation()))
                .mapToLong(server -> waitMillis(server, nowMillis))
                .min()
                .orElse(0);
    }

    /**
     * Returns the number of limited servers.
     *
     * @return the servers that named a limit in their last responses
     */
    public synchronized int size() {
        return limits.size();
    }

    /**
     * Removes the limits of servers that are no longer usable.
     *
     * @param usable the servers that may get requests
     */
    public synchronized void retain(List<DirectServer> usable) {
        Set<Incarnation> kept =
                usable.stream().map(DirectServer::incarnation).collect(Collectors.toSet());
        limits.keySet().retainAll(kept);
    }

    private boolean hasCapacity(DirectServer server, long nowMillis) {
        Limit limit = limits.get(server.incarnation());
        if (limit == null) {
            return true;
        }
        refill(server, limit, nowMillis);
        return limit.tokens >= 1;
    }

    private long waitMillis(DirectServer server, long nowMillis) {
        Limit limit = limits.get(server.incarnation());
        refill(server, limit, nowMillis);
        double share = share(server, limit);
        long recheckMillis = limit.heardMillis + recheckMillis(limit) - nowMillis;
        if (share <= 0) {
            return recheckMillis;
        }
        double missing = Math.max(0, 1 - limit.tokens);
        return Math.min(recheckMillis, (long) Math.ceil(missing / share * MILLIS_PER_SECOND));
    }

    private void refill(DirectServer server, Limit limit, long nowMillis) {
        limit.refill(share(server, limit), nowMillis);
        if (nowMillis - limit.heardMillis >= recheckMillis(limit)) {
            limit.heardMillis = nowMillis;
            limit.tokens = Math.max(1, limit.tokens);
        }
    }

    /** Returns this entry's share of a server's rate, 0 if other entries use it up. */
    private double share(DirectServer server, Limit limit) {
        int entries = Math.max(1, entryCount.getAsInt());
        if (limit.rate <= 0) {
            return 0;
        }
        int users = (int) Math.max(1, Math.min(entries, limit.rate / MINIMUM_SHARE_PER_SECOND));
        boolean uses = users == entries || rank.applyAsInt(server.id()) < users;
        return uses ? limit.rate / users : 0;
    }

    private long recheckMillis(Limit limit) {
        double rate = RECHECK_FRACTION * Math.max(MINIMUM_RECHECK_RATE, limit.rate);
        double millis = entryCount.getAsInt() / rate * MILLIS_PER_SECOND;
        return (long) Math.min(MAXIMUM_RECHECK_MILLIS, Math.max(MINIMUM_RECHECK_MILLIS, millis));
    }

    /** The limit of one server, and this entry's use of it. */
    private static final class Limit {
        private final long namedMillis;
        private double rate;
        private double tokens;
        private long refilledMillis;
        private long heardMillis;

        Limit(double rate, long nowMillis) {
            this.rate = rate;
            this.namedMillis = nowMillis;
            this.refilledMillis = nowMillis;
            this.heardMillis = nowMillis;
        }

        void refill(double sharePerSecond, long nowMillis) {
            double added = sharePerSecond * (nowMillis - refilledMillis) / MILLIS_PER_SECOND;
            tokens = Math.min(Math.max(1, BURST_SECONDS * sharePerSecond), tokens + added);
            refilledMillis = nowMillis;
        }
    }
}
