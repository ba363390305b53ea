package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates a model pool's worst load: twice the usual arrivals for fourteen seconds, streams that
 * last several seconds, and callers that retry once.
 *
 * <p>Served first come first served until callers give up, which is the baseline, such a burst
 * makes every request late. {@link AdmissionQueue} rejects the requests that cannot be served in
 * time. The tests compare how many first events meet the objective.
 */
class AdmissionBurstReplayTest {

    private static final int SLOTS = 42;
    private static final long STREAM_MILLIS = 3_450;
    private static final long OBJECTIVE_MILLIS = 900;
    private static final long CALLER_GIVE_UP_MILLIS = 3_600;
    private static final long PREFILL_MILLIS = 250;
    private static final long END_MILLIS = 34_000;
    private static final long STEP_MILLIS = 10;

    private static final long CALLER_REMAINING_MILLIS = 14_000;

    /** Early retries, which arrive during the burst. */
    private static final RetryDelay EARLY_RETRY = random -> 500 + random.nextInt(1_000);

    /** Retries with the delay of {@link RetryAfterCalculator}. */
    private static final RetryDelay DELAYED_RETRY =
            random ->
                    new RetryAfterCalculator()
                            .retryAfterMillis(0, CALLER_REMAINING_MILLIS, random.nextDouble());

    private interface RetryDelay {
        long next(Random random);
    }

    private record Result(int inTime, int refusedTwice) {}

    private record Caller(long firstMillis, long arrivedMillis, boolean isRetry) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void queueServesMoreCallersInTimeThanFirstComeFirstServed(long seed) {
        int baseline = simulateFirstComeFirstServed(arrivals(seed));
        int queued = simulateAdmissionQueue(arrivals(seed), seed, DELAYED_RETRY).inTime();
        int total = arrivals(seed).size();

        assertThat(queued).isGreaterThan(baseline + total / 10);
        // The calm half plus the pool's throughput in the burst is nearly three quarters of all
        // requests.
        assertThat(queued).isGreaterThan(total * 70 / 100);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void delayedRetriesAreRefusedLessOftenThanEarlyRetries(long seed) {
        Result early = simulateAdmissionQueue(arrivals(seed), seed, EARLY_RETRY);
        Result delayed = simulateAdmissionQueue(arrivals(seed), seed, DELAYED_RETRY);

        assertThat(delayed.refusedTwice()).isLessThan(early.refusedTwice());
        assertThat(delayed.inTime()).isGreaterThan(early.inTime() * 95 / 100);
    }

    private static PriorityQueue<Caller> arrivals(long seed) {
        Random random = new Random(seed);
        PriorityQueue<Caller> callers =
                new PriorityQueue<>(Comparator.comparingLong(Caller::arrivedMillis));
        for (double now = 0; now < END_MILLIS; ) {
            boolean burst = now > 8_000 && now < 22_000;
            now += -Math.log(1 - random.nextDouble()) * 1_000 / (burst ? 14 : 7);
            callers.add(new Caller((long) now, (long) now, false));
        }
        return callers;
    }

    private static int simulateFirstComeFirstServed(PriorityQueue<Caller> arrivals) {
        Deque<Caller> fifo = new ArrayDeque<>();
        List<Long> ends = new ArrayList<>();
        int inTime = 0;
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            long time = now;
            ends.removeIf(end -> end <= time);
            while (!arrivals.isEmpty() && arrivals.peek().arrivedMillis() <= now) {
                fifo.add(arrivals.poll());
            }
            fifo.removeIf(caller -> time - caller.arrivedMillis() > CALLER_GIVE_UP_MILLIS);
            while (ends.size() < SLOTS && !fifo.isEmpty()) {
                inTime += serve(fifo.remove(), now, ends);
            }
        }
        return inTime;
    }

    private static Result simulateAdmissionQueue(
            PriorityQueue<Caller> arrivals, long seed, RetryDelay retryDelay) {
        Random random = new Random(seed);
        AdmissionQueue<Caller> queue = new AdmissionQueue<>();
        List<Long> ends = new ArrayList<>();
        int inTime = 0;
        int refusedTwice = 0;
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            long time = now;
            ends.removeIf(end -> end <= time);
            List<Caller> refused = new ArrayList<>(queue.removeExpired(now));
            while (!arrivals.isEmpty() && arrivals.peek().arrivedMillis() <= now) {
                Caller caller = arrivals.poll();
                long giveUpMillis = caller.arrivedMillis() + OBJECTIVE_MILLIS - PREFILL_MILLIS;
                Claim claim = new Claim(Optional.empty(), 1, false, giveUpMillis, 3_000);
                if (queue.enqueue(caller, claim, now).waiter().isEmpty()) {
                    refused.add(caller);
                }
            }
            for (Caller caller : refused) {
                if (caller.isRetry()) {
                    refusedTwice++;
                } else {
                    long retryMillis = now + retryDelay.next(random);
                    arrivals.add(new Caller(caller.firstMillis(), retryMillis, true));
                }
            }
            Optional<Waiter<Caller>> first = queue.peek();
            while (ends.size() < SLOTS && first.isPresent()) {
                queue.remove(first.get());
                queue.recordGrant(now);
                inTime += serve(first.get().item(), now, ends);
                first = queue.peek();
            }
        }
        return new Result(inTime, refusedTwice);
    }

    private static int serve(Caller caller, long nowMillis, List<Long> ends) {
        ends.add(nowMillis + PREFILL_MILLIS + STREAM_MILLIS);
        return nowMillis + PREFILL_MILLIS - caller.firstMillis() <= OBJECTIVE_MILLIS ? 1 : 0;
    }
}
