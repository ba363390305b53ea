package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import dev.foxtailshed.kernel.direct.ReservationCalls.Call;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a request is queued, called for or granted, but never two of these. */
class ReservationCallsTest {

    private static final int REQUESTS = 400;
    private static final int MAXIMUM_UNDER_WAY = 4;
    private static final long STALL_MILLIS = 150;
    private static final long GIVE_UP_MILLIS = 100_000;

    private final AdmissionQueue<Integer> queue = new AdmissionQueue<>();
    private final ReservationCalls<Integer> calls = new ReservationCalls<>(queue);

    /** A reply or timeout that becomes due, in the order in which the process learns of it. */
    private record Due(long millis, long order, Runnable step) {}

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 50);
    }

    @Test
    void callEndsOnce() {
        Call<Integer> call = startOneCall();

        assertThat(calls.end(call)).isTrue();
        assertThat(calls.endAndRequeue(call)).isFalse();
        assertThat(calls.end(call)).isFalse();
        assertThat(calls.underWay()).isZero();
        assertThat(queue.size()).isZero();
    }

    @Test
    void requestOfAbandonedCallIsQueuedOnce() {
        Call<Integer> call = startOneCall();

        assertThat(calls.endAndRequeue(call)).isTrue();
        assertThat(calls.endAndRequeue(call)).isFalse();
        assertThat(calls.underWay()).isZero();
        assertThat(queue.size()).isEqualTo(1);
        assertThat(queue.peek()).contains(call.waiter());
    }

    private Call<Integer> startOneCall() {
        return calls.start(queue.enqueue(1, claim("a", 0), 0).waiter().orElseThrow());
    }

    /**
     * Guards against a request with two reservations, which runs twice. The process is paused at
     * random; the replies and timeouts that become due meanwhile are then handled in any order, and
     * no timeout is cancelled in time.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void requestIsGrantedOnceWhateverIsHandledFirstAfterAPause(long seed) {
        Random random = new Random(seed);
        PriorityQueue<Due> due =
                new PriorityQueue<>(
                        (a, b) ->
                                a.millis != b.millis
                                        ? Long.compare(a.millis, b.millis)
                                        : Long.compare(a.order, b.order));
        Set<Integer> granted = new HashSet<>();
        int arrived = 0;
        long nowMillis = 0;
        while (arrived < REQUESTS || granted.size() < REQUESTS) {
            nowMillis += random.nextInt(10) == 0 ? random.nextInt(400) : random.nextInt(5);
            assertThat(nowMillis).as("all requests are granted").isLessThan(GIVE_UP_MILLIS);
            if (arrived < REQUESTS) {
                String workspace = random.nextBoolean() ? "a" : "b";
                queue.enqueue(arrived++, claim(workspace, random.nextInt(3)), nowMillis);
            }
            for (Runnable step : takeDue(due, nowMillis, random)) {
                step.run();
                assertThat(calls.underWay()).isBetween(0, MAXIMUM_UNDER_WAY);
            }
            startCalls(due, granted, nowMillis, random);
        }
        due.forEach(late -> late.step.run());
        assertThat(calls.underWay()).isZero();
        assertThat(queue.size()).isZero();
        assertThat(granted).hasSize(REQUESTS);
    }

    private static List<Runnable> takeDue(PriorityQueue<Due> due, long nowMillis, Random random) {
        List<Runnable> steps = new ArrayList<>();
        while (!due.isEmpty() && due.peek().millis <= nowMillis) {
            steps.add(due.poll().step);
        }
        Collections.shuffle(steps, random);
        return steps;
    }

    private void startCalls(
            PriorityQueue<Due> due, Set<Integer> granted, long nowMillis, Random random) {
        while (calls.underWay() < MAXIMUM_UNDER_WAY && queue.peek().isPresent()) {
            Waiter<Integer> waiter = queue.peek().get();
            assertThat(granted).as("a queued request holds nothing").doesNotContain(waiter.item());
            Call<Integer> call = calls.start(waiter);
            boolean isGranted = random.nextInt(3) > 0;
            // Most replies take a few milliseconds, some longer than the stall timeout.
            long replyMillis = random.nextInt(5) == 0 ? random.nextInt(300) : random.nextInt(5);
            due.add(
                    new Due(
                            nowMillis + replyMillis,
                            due.size(),
                            () -> reply(call, isGranted, granted)));
            due.add(new Due(nowMillis + STALL_MILLIS, due.size(), () -> calls.endAndRequeue(call)));
        }
    }

    private void reply(Call<Integer> call, boolean isGranted, Set<Integer> granted) {
        if (!isGranted) {
            calls.endAndRequeue(call);
        } else if (calls.end(call)) {
            assertThat(granted.add(call.waiter().item())).as("granted once").isTrue();
        }
    }

    private static Claim claim(String workspace, int priority) {
        return new Claim(Optional.of(workspace), priority, false, GIVE_UP_MILLIS, 1_000);
    }
}
