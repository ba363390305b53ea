package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the order and rejection of requests that wait for decode capacity. */
class AdmissionQueueTest {

    private final AdmissionQueue<String> queue = new AdmissionQueue<>();

    private static Claim claim(int priority, boolean late, long giveUpMillis) {
        return new Claim(Optional.empty(), priority, late, giveUpMillis, 3_000);
    }

    @Test
    void ordersInTimeRequestsFirstThenByPriorityThenByArrival() {
        queue.enqueue("late", claim(0, true, 10_000), 0);
        queue.enqueue("low", claim(2, false, 10_000), 0);
        queue.enqueue("first", claim(1, false, 10_000), 0);
        queue.enqueue("second", claim(1, false, 10_000), 0);
        List<String> order = new ArrayList<>();
        while (queue.peek().isPresent()) {
            Waiter<String> waiter = queue.peek().get();
            order.add(waiter.item());
            queue.remove(waiter);
        }
        assertThat(order).containsExactly("first", "second", "low", "late");
    }

    @Test
    void requestThatCannotBeServedInTimeIsRejectedOnArrival() {
        for (long now = 0; now <= 8_000; now += 200) {
            Waiter<String> waiter =
                    queue.enqueue("x", claim(1, false, now + 10_000), now).waiter().orElseThrow();
            queue.remove(waiter);
            queue.recordGrant(now);
        }
        queue.enqueue("a", claim(1, false, 9_000), 8_000);
        queue.enqueue("b", claim(1, false, 9_000), 8_000);
        assertThat(queue.enqueue("in time", claim(1, false, 8_600), 8_000).waiter()).isPresent();
        assertThat(queue.enqueue("too late", claim(1, false, 8_300), 8_000).waiter()).isEmpty();
    }

    @Test
    void expiredRequestsAreRemoved() {
        queue.enqueue("a", claim(1, false, 500), 0);
        queue.enqueue("b", claim(1, false, 900), 0);
        assertThat(queue.removeExpired(500)).containsExactly("a");
        assertThat(queue.peek().map(Waiter::item)).contains("b");
    }

    @Test
    void requeuedRequestKeepsItsPosition() {
        queue.enqueue("a", claim(1, false, 5_000), 0);
        queue.enqueue("b", claim(1, false, 5_000), 0);
        Waiter<String> first = queue.peek().orElseThrow();
        queue.remove(first);
        queue.requeue(first);
        assertThat(queue.peek()).isEqualTo(Optional.of(first));
    }
}
