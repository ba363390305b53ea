package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

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
 * Replays the worst load of a model pool: twice the usual arrivals for fourteen seconds, with
 * streams that last for seconds, and callers that come back once.
 *
 * <p>The baseline serves first come first served until callers leave. The queue rejects who cannot
 * be served in time. What counts is how many first events come within the objective.
 */
class AdmissionBurstReplayTest {

    private static final int PLACES = 42;
    private static final long STREAM_MILLIS = 3_450;
    private static final long OBJECTIVE_MILLIS = 900;
    private static final long PATIENCE_MILLIS = 3_600;
    private static final long PREFILL_MILLIS = 250;
    private static final long END_MILLIS = 34_000;
    private static final long STEP_MILLIS = 10;

    private static final long CALLER_TIME_MILLIS = 14_000;

    /** How refused callers came back before: into the burst. */
    private static final ReturnDelay SOON = random -> 500 + random.nextInt(1_000);

    /** How they come back now. */
    private static final ReturnDelay LATER =
            random ->
                    new RetryAfterCalculator()
                            .retryAfterMillis(0, CALLER_TIME_MILLIS, random.nextDouble());

    private interface ReturnDelay {
        long next(Random random);
    }

    private record Result(int inTime, int refusedTwice) {}

    private record Caller(long firstMillis, long arrivedMillis, boolean returned) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void moreCallersAreServedInTimeThanFirstComeFirstServed(long seed) {
        int baseline = firstComeFirstServed(arrivals(seed));
        int queued = withTheQueue(arrivals(seed), seed, LATER).inTime();
        int all = arrivals(seed).size();

        assertThat(queued).isGreaterThan(baseline + all / 10);
        // The calm half and the pool's throughput in the burst: nearly three quarters of all.
        assertThat(queued).isGreaterThan(all * 70 / 100);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void fewerCallersAreRefusedAgainThanWithAnEarlyReturn(long seed) {
        Result soon = withTheQueue(arrivals(seed), seed, SOON);
        Result later = withTheQueue(arrivals(seed), seed, LATER);

        assertThat(later.refusedTwice()).isLessThan(soon.refusedTwice());
        assertThat(later.inTime()).isGreaterThan(soon.inTime() * 95 / 100);
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

    private static int firstComeFirstServed(PriorityQueue<Caller> arrivals) {
        Deque<Caller> fifo = new ArrayDeque<>();
        List<Long> ends = new ArrayList<>();
        int inTime = 0;
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            long time = now;
            ends.removeIf(end -> end <= time);
            while (!arrivals.isEmpty() && arrivals.peek().arrivedMillis() <= now) {
                fifo.add(arrivals.poll());
            }
            fifo.removeIf(caller -> time - caller.arrivedMillis() > PATIENCE_MILLIS);
            while (ends.size() < PLACES && !fifo.isEmpty()) {
                inTime += serve(fifo.remove(), now, ends);
            }
        }
        return inTime;
    }

    private static Result withTheQueue(
            PriorityQueue<Caller> arrivals, long seed, ReturnDelay returns) {
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
                long giveUp = caller.arrivedMillis() + OBJECTIVE_MILLIS - PREFILL_MILLIS;
                if (queue.enqueue(caller, 1, false, giveUp, now).isEmpty()) {
                    refused.add(caller);
                }
            }
            for (Caller caller : refused) {
                if (caller.returned()) {
                    refusedTwice++;
                } else {
                    long back = now + returns.next(random);
                    arrivals.add(new Caller(caller.firstMillis(), back, true));
                }
            }
            Optional<Waiter<Caller>> first = queue.peek();
            while (ends.size() < PLACES && first.isPresent()) {
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
