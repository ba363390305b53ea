package dev.foxtailshed.kernel.direct.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The peers that did not answer, which are skipped for a while, longer after each further failure.
 *
 * <p>Load pattern: a frozen or partitioned peer costs each message to it a full timeout, in which
 * requests wait. Not thread-safe.
 */
final class PeerFailures {

    private static final long FIRST_SKIP_MILLIS = 1_000;
    private static final long MAXIMUM_SKIP_MILLIS = 8_000;

    private final Map<String, Skip> skips = new HashMap<>();

    private record Skip(long skipMillis, long untilMillis) {}

    boolean isEmpty() {
        return skips.isEmpty();
    }

    boolean isUsable(String peer, long nowMillis) {
        Skip skip = skips.get(peer);
        return skip == null || nowMillis >= skip.untilMillis;
    }

    void recordFailure(String peer, long nowMillis) {
        Skip last = skips.get(peer);
        if (last != null && nowMillis < last.untilMillis) {
            return;
        }
        long skipMillis =
                last == null
                        ? FIRST_SKIP_MILLIS
                        : Math.min(MAXIMUM_SKIP_MILLIS, 2 * last.skipMillis);
        skips.put(peer, new Skip(skipMillis, nowMillis + skipMillis));
    }

    void recordResponse(String peer) {
        skips.remove(peer);
    }

    void retain(Collection<String> peers) {
        skips.keySet().retainAll(peers);
    }
}
