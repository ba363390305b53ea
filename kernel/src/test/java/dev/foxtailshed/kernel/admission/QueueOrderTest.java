package dev.foxtailshed.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the order of waiting requests and the estimate of their waiting time. */
class QueueOrderTest {

    private static final long NOW_MILLIS = 10_000;
    private static final QueuedRequest LATER =
            new QueuedRequest(5, 2, false, false, 10_500, 90_000);
    private static final QueuedRequest EARLIER =
            new QueuedRequest(4, 2, false, false, 10_400, 90_000);
    private static final QueuedRequest HIGH_PRIORITY =
            new QueuedRequest(6, 1, false, false, 11_000, 90_000);
    private static final QueuedRequest PATIENT =
            new QueuedRequest(2, 6, true, false, 12_000, 90_000);
    private static final QueuedRequest LATE = new QueuedRequest(1, 6, true, false, 9_000, 90_000);
    private static final QueuedRequest URGENT = new QueuedRequest(3, 6, true, false, 8_000, 9_999);
    private static final QueuedRequest HOLDER = new QueuedRequest(7, 6, true, true, 12_000, 90_000);

    @Test
    void ordersByReservationUrgencyPriorityAndTarget() {
        List<QueuedRequest> waiting =
                new ArrayList<>(
                        List.of(LATE, PATIENT, URGENT, EARLIER, LATER, HIGH_PRIORITY, HOLDER));
        QueueOrder order = new QueueOrder.ByTarget();
        List<QueuedRequest> taken = new ArrayList<>();
        while (!waiting.isEmpty()) {
            QueuedRequest next = order.next(waiting, NOW_MILLIS).orElseThrow();
            assertThat(order.countAhead(waiting, next, NOW_MILLIS)).isZero();
            taken.add(next);
            waiting.remove(next);
        }

        assertThat(taken)
                .containsExactly(HOLDER, URGENT, HIGH_PRIORITY, EARLIER, LATER, PATIENT, LATE);
    }

    @ParameterizedTest
    @CsvSource({"200, 20", "40, 4"})
    void patientRequestsAreNotStarvedByAStreamOfOthers(int picks, int minimumPatientPicks) {
        QueueOrder order = new QueueOrder.ByTarget();
        List<QueuedRequest> waiting = new ArrayList<>();
        int patientPicks = 0;
        for (int i = 0; i < picks; i++) {
            waiting.add(new QueuedRequest(1_000 + i, 2, false, false, NOW_MILLIS + 500, 90_000));
            waiting.add(new QueuedRequest(2_000 + i, 6, true, false, NOW_MILLIS - 500, 90_000));
            QueuedRequest next = order.next(waiting, NOW_MILLIS).orElseThrow();
            waiting.remove(next);
            patientPicks += next.patient() ? 1 : 0;
        }

        assertThat(patientPicks).isGreaterThanOrEqualTo(minimumPatientPicks);
    }

    @Test
    void arrivalOrderIgnoresAllOtherProperties() {
        QueueOrder order = new QueueOrder.ByArrival();
        List<QueuedRequest> waiting = List.of(HIGH_PRIORITY, HOLDER, LATE, URGENT);

        assertThat(order.next(waiting, NOW_MILLIS)).contains(LATE);
        assertThat(order.countAhead(waiting, HIGH_PRIORITY, NOW_MILLIS)).isEqualTo(2);
    }

    @ParameterizedTest
    @CsvSource({"20, 10, 200", "50, 4, 200"})
    void estimatesTheWaitFromObservedStarts(long gapMillis, long starts, long expectedMillis) {
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
