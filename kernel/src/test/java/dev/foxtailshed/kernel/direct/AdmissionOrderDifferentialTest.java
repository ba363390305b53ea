package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Enqueued;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares {@link AdmissionQueue} without workspaces with the order that it had before workspaces,
 * on random schedules: guards against a change for deployments without workspaces.
 */
class AdmissionOrderDifferentialTest {

    private static final int OPERATIONS = 20_000;

    /** A request in both queues. */
    private record Pair(
            AdmissionQueue.Waiter<Integer> waiter, ArrivalOrderQueue.Waiter<Integer> expected) {}

    private final AdmissionQueue<Integer> queue = new AdmissionQueue<>();
    private final ArrivalOrderQueue<Integer> baseline = new ArrivalOrderQueue<>();
    private final List<Pair> pairs = new ArrayList<>();
    private final List<Pair> inFlight = new ArrayList<>();
    private int nextItem;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void withoutWorkspacesTheOrderAndTheRejectionsAreUnchanged(long seed) {
        Random random = new Random(seed);
        // Some seeds have short queues, others long ones.
        int arrivalsPerGrant = 1 + (int) (seed % 4);
        long now = 0;
        for (int i = 0; i < OPERATIONS; i++) {
            now += random.nextInt(20);
            switch (random.nextInt(8 + arrivalsPerGrant)) {
                case 0, 1 -> take();
                case 2, 3 -> grant(random, now);
                case 4 -> requeue(random);
                case 5 -> leave(random);
                case 6 -> leaveInFlight(random);
                case 7 ->
                        assertThat(queue.removeExpired(now)).isEqualTo(baseline.removeExpired(now));
                default -> enqueue(random, now);
            }
            assertThat(queue.peek().map(AdmissionQueue.Waiter::item))
                    .isEqualTo(baseline.peek().map(ArrivalOrderQueue.Waiter::item));
            assertThat(queue.size()).isEqualTo(baseline.size());
            assertThat(queue.drainMillis()).isEqualTo(baseline.drainMillis());
            assertThat(queue.isYielding()).isFalse();
        }
    }

    private void enqueue(Random random, long now) {
        int priority = random.nextInt(3);
        boolean late = random.nextInt(4) == 0;
        long giveUpMillis = now + random.nextInt(3_000);
        long tokens = random.nextInt(10) == 0 ? 0 : random.nextInt(9_000);
        int item = nextItem++;
        Enqueued<Integer> enqueued =
                queue.enqueue(
                        item,
                        new Claim(Optional.empty(), priority, late, giveUpMillis, tokens),
                        now);
        Optional<ArrivalOrderQueue.Waiter<Integer>> expected =
                baseline.enqueue(item, priority, late, giveUpMillis, now);
        assertThat(enqueued.waiter().isPresent()).isEqualTo(expected.isPresent());
        assertThat(enqueued.rejected()).isEmpty();
        expected.ifPresent(waiter -> pairs.add(new Pair(enqueued.waiter().orElseThrow(), waiter)));
    }

    private void take() {
        if (inFlight.size() < 4 && queue.peek().isPresent()) {
            Pair first = new Pair(queue.peek().get(), baseline.peek().orElseThrow());
            queue.take(first.waiter());
            baseline.remove(first.expected());
            inFlight.add(first);
        }
    }

    private void grant(Random random, long now) {
        removeRandom(inFlight, random)
                .ifPresent(
                        pair -> {
                            queue.recordGrant(now);
                            baseline.recordGrant(now);
                        });
    }

    private void requeue(Random random) {
        removeRandom(inFlight, random)
                .ifPresent(
                        pair -> {
                            assertThat(queue.demand(pair.waiter())).isEqualTo(baseline.size() + 1);
                            queue.requeue(pair.waiter());
                            baseline.requeue(pair.expected());
                        });
    }

    private void leave(Random random) {
        Optional<Pair> pair = removeRandom(pairs, random);
        if (pair.isPresent() && !inFlight.contains(pair.get())) {
            boolean queued = baseline.remove(pair.get().expected());
            if (queued) {
                assertThat(queue.remove(pair.get().waiter())).isTrue();
            }
        }
    }

    private void leaveInFlight(Random random) {
        removeRandom(inFlight, random)
                .ifPresent(pair -> assertThat(queue.remove(pair.waiter())).isFalse());
    }

    private static Optional<Pair> removeRandom(List<Pair> list, Random random) {
        return list.isEmpty()
                ? Optional.empty()
                : Optional.of(list.remove(random.nextInt(list.size())));
    }
}
