package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.WaitingLine.Waiter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the order of requests that wait for decode capacity. */
class WaitingLineTest {

    private final WaitingLine<String> line = new WaitingLine<>();

    @Test
    void thoseInTimeComeFirstThenByPriorityThenByArrival() {
        line.join("late", 0, true, 10_000, 0);
        line.join("low", 2, false, 10_000, 0);
        line.join("first", 1, false, 10_000, 0);
        line.join("second", 1, false, 10_000, 0);
        List<String> order = new ArrayList<>();
        while (line.first().isPresent()) {
            Waiter<String> waiter = line.first().get();
            order.add(waiter.item());
            line.leave(waiter);
        }
        assertThat(order).containsExactly("first", "second", "low", "late");
    }

    @Test
    void whoWouldWaitInVainIsRefusedOnArrival() {
        for (long now = 0; now <= 8_000; now += 200) {
            Waiter<String> waiter = line.join("x", 1, false, now + 10_000, now).orElseThrow();
            line.leave(waiter);
            line.granted(now);
        }
        line.join("a", 1, false, 9_000, 8_000);
        line.join("b", 1, false, 9_000, 8_000);
        assertThat(line.join("in time", 1, false, 8_600, 8_000)).isPresent();
        assertThat(line.join("in vain", 1, false, 8_300, 8_000)).isEmpty();
    }

    @Test
    void whoseTimeIsUpLeavesTheLine() {
        line.join("a", 1, false, 500, 0);
        line.join("b", 1, false, 900, 0);
        assertThat(line.expire(500)).containsExactly("a");
        assertThat(line.first().map(Waiter::item)).contains("b");
    }

    @Test
    void requestThatWasNotServedGetsItsPlaceBack() {
        line.join("a", 1, false, 5_000, 0);
        line.join("b", 1, false, 5_000, 0);
        Waiter<String> first = line.first().orElseThrow();
        line.leave(first);
        line.rejoin(first);
        assertThat(line.first()).isEqualTo(Optional.of(first));
    }
}
