package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Enqueued;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares {@link AdmissionQueue} with a plain implementation of start-time fair queueing, on
 * random schedules with regular grants.
 *
 * <p>All requests are late, since these get no turns, which the reference does not have.
 */
class AdmissionOrderReferenceTest {

    private static final long GRANT_INTERVAL_MILLIS = 100;

    private record Request(int number, int workspace, long tokens, long giveUpMillis) {}

    /** Keeps the requests of each workspace, and the start tag of the first one. */
    private static final class Reference {
        private final Map<Integer, Deque<Request>> waiting = new HashMap<>();
        private final Map<Integer, Long> tags = new HashMap<>();
        private long virtualTime;

        void add(Request request) {
            Deque<Request> own =
                    waiting.computeIfAbsent(request.workspace(), t -> new ArrayDeque<>());
            if (own.isEmpty()) {
                tags.merge(request.workspace(), virtualTime, Math::max);
            }
            own.add(request);
        }

        void remove(Request request) {
            waiting.get(request.workspace()).remove(request);
        }

        Optional<Request> next() {
            return waiting.values().stream()
                    .filter(own -> !own.isEmpty())
                    .map(Deque::peek)
                    .min(
                            Comparator.<Request>comparingLong(first -> tags.get(first.workspace()))
                                    .thenComparingInt(Request::number));
        }

        void serve(Request request) {
            remove(request);
            virtualTime = tags.get(request.workspace());
            tags.merge(request.workspace(), request.tokens(), Long::sum);
        }

        /** Returns the order in which all requests would be served if no other ones came. */
        List<Request> order() {
            Reference copy = new Reference();
            waiting.forEach((workspace, own) -> copy.waiting.put(workspace, new ArrayDeque<>(own)));
            copy.tags.putAll(tags);
            List<Request> order = new ArrayList<>();
            for (Optional<Request> next = copy.next(); next.isPresent(); next = copy.next()) {
                copy.serve(next.get());
                order.add(next.get());
            }
            return order;
        }
    }

    private final AdmissionQueue<Request> queue = new AdmissionQueue<>();
    private final Reference reference = new Reference();
    private int nextNumber;

    /** A rejected request must be one that could not have been served. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void servesByStartTagsAndRejectsOnlyWhatWouldExpire(long seed) {
        Random random = new Random(seed);
        long now = 0;
        int rejected = 0;
        int displaced = 0;
        for (int i = 0; i < 4_000; i++) {
            now += GRANT_INTERVAL_MILLIS;
            for (Request expired : queue.removeExpired(now)) {
                assertThat(expired.giveUpMillis()).isLessThanOrEqualTo(now);
                reference.remove(expired);
            }
            serve(now);
            for (int arrivals = random.nextInt(4); arrivals > 0; arrivals--) {
                // Half of the requests are those of workspace 0.
                int workspace = random.nextBoolean() ? 0 : random.nextInt(6);
                long giveUpMillis = now + 100 + random.nextInt(2_000);
                long tokens = 1_000 + random.nextInt(5_000);
                Request request = new Request(nextNumber++, workspace, tokens, giveUpMillis);
                // By then, the average interval has settled.
                int displacedNow = enqueue(request, now, i > 200);
                displaced += Math.max(0, displacedNow);
                rejected += displacedNow < 0 ? 1 : 0;
            }
            assertThat(queue.peek().map(Waiter::item)).isEqualTo(reference.next());
        }
        assertThat(rejected).isPositive();
        assertThat(displaced).isPositive();
    }

    private void serve(long now) {
        queue.peek()
                .ifPresent(
                        first -> {
                            assertThat(reference.next()).contains(first.item());
                            queue.take(first);
                            queue.recordGrant(now);
                            reference.serve(first.item());
                        });
    }

    /** Returns the number of requests rejected in favor of a new one, or -1 if it was rejected. */
    private int enqueue(Request request, long now, boolean settled) {
        Optional<String> workspace = Optional.of("workspace-" + request.workspace());
        Claim claim = new Claim(workspace, 1, true, request.giveUpMillis(), request.tokens());
        reference.add(request);
        List<Request> order = reference.order();
        Enqueued<Request> enqueued = queue.enqueue(request, claim, now);
        List<Request> rejected = new ArrayList<>(enqueued.rejected());
        if (enqueued.waiter().isEmpty()) {
            rejected.add(request);
        }
        rejected.forEach(reference::remove);
        if (settled) {
            assertThat(rejected).allSatisfy(one -> assertUnservable(one, order, rejected, now));
        }
        return enqueued.waiter().isEmpty() ? -1 : rejected.size();
    }

    /**
     * The request would be granted after its limit even if requests ahead of it expire. The queue
     * does not know when the next grant comes, so that it may be wrong by one interval.
     */
    private static void assertUnservable(
            Request request, List<Request> order, List<Request> rejected, long now) {
        long startMillis = now + GRANT_INTERVAL_MILLIS;
        for (Request ahead : order.subList(0, order.indexOf(request))) {
            if (ahead.giveUpMillis() > startMillis && !rejected.contains(ahead)) {
                startMillis += GRANT_INTERVAL_MILLIS;
            }
        }
        assertThat(startMillis + GRANT_INTERVAL_MILLIS).isGreaterThan(request.giveUpMillis());
    }
}
