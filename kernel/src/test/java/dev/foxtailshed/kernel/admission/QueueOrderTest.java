package dev.foxtailshed.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who goes first among waiting requests, and how long the rest will wait. */
class QueueOrderTest {

    private static final long NOW_MILLIS = 10_000;
    private static final QueuedRequest WAITING =
            new QueuedRequest(5, 2, false, false, 10_500, 90_000);
    private static final QueuedRequest EARLIER =
            new QueuedRequest(4, 2, false, false, 10_400, 90_000);
    private static final QueuedRequest ORDER =
            new QueuedRequest(6, 1, false, false, 11_000, 90_000);
    private static final QueuedRequest PATIENT =
            new QueuedRequest(2, 6, true, false, 12_000, 90_000);
    private static final QueuedRequest LATE = new QueuedRequest(1, 6, true, false, 9_000, 90_000);
    private static final QueuedRequest URGENT = new QueuedRequest(3, 6, true, false, 8_000, 9_999);
    private static final QueuedRequest HOLDER = new QueuedRequest(7, 6, true, true, 12_000, 90_000);

    @Test
    void ordersByPlaceUrgencyPriorityAndTarget() {
        List<QueuedRequest> waiting =
                new ArrayList<>(List.of(LATE, PATIENT, URGENT, EARLIER, WAITING, ORDER, HOLDER));
        QueueOrder order = new QueueOrder.ByTarget();
        List<QueuedRequest> taken = new ArrayList<>();
        while (!waiting.isEmpty()) {
            QueuedRequest next = order.next(waiting, NOW_MILLIS).orElseThrow();
            assertThat(order.countAhead(waiting, next, NOW_MILLIS)).isZero();
            taken.add(next);
            waiting.remove(next);
        }

        assertThat(taken).containsExactly(HOLDER, URGENT, ORDER, EARLIER, WAITING, PATIENT, LATE);
    }

    @ParameterizedTest
    @CsvSource({"200, 20", "40, 4"})
    void aPatientRequestIsNotStarvedByAStreamOfOthers(int picks, int leastPatient) {
        QueueOrder order = new QueueOrder.ByTarget();
        List<QueuedRequest> waiting = new ArrayList<>();
        int patient = 0;
        for (int i = 0; i < picks; i++) {
            waiting.add(new QueuedRequest(1_000 + i, 2, false, false, NOW_MILLIS + 500, 90_000));
            waiting.add(new QueuedRequest(2_000 + i, 6, true, false, NOW_MILLIS - 500, 90_000));
            QueuedRequest next = order.next(waiting, NOW_MILLIS).orElseThrow();
            waiting.remove(next);
            patient += next.patient() ? 1 : 0;
        }

        assertThat(patient).isGreaterThanOrEqualTo(leastPatient);
    }

    @Test
    void theReferenceServesByArrivalAlone() {
        QueueOrder order = new QueueOrder.ByArrival();
        List<QueuedRequest> waiting = List.of(ORDER, HOLDER, LATE, URGENT);

        assertThat(order.next(waiting, NOW_MILLIS)).contains(LATE);
        assertThat(order.countAhead(waiting, ORDER, NOW_MILLIS)).isEqualTo(2);
    }

    @ParameterizedTest
    @CsvSource({"20, 10, 200", "50, 4, 200"})
    void predictsTheWaitFromTheStartsSeen(long gapMillis, long starts, long expectedMillis) {
        StartRate rate = new StartRate();
        rate.recordWaiting(0);
        assertThat(rate.estimateMillis(starts, 0)).isEqualTo(OptionalLong.empty());
        long nowMillis = 0;
        while (nowMillis < 3_000) {
            nowMillis += gapMillis;
            rate.recordStart(nowMillis);
        }

        assertThat(rate.estimateMillis(starts, nowMillis).orElseThrow())
                .isBetween(expectedMillis * 9 / 10, expectedMillis * 11 / 10);
    }
}
