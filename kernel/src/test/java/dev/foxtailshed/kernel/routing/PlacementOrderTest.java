package dev.foxtailshed.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the steps of the two placement orders. */
class PlacementOrderTest {

    private static final PlacementOrder RESERVE_FIRST = new PlacementOrder.ReserveFirst();
    private static final PlacementOrder PREFILL_FIRST = new PlacementOrder.PrefillFirst();

    @ParameterizedTest
    @CsvSource({
        "NONE, NONE, RESERVE_DECODE, RESERVE_PREFILL",
        "GRANTED, NONE, RESERVE_PREFILL, RESERVE_PREFILL",
        "GRANTED, GRANTED, START_PREFILL, START_PREFILL",
        "NONE, GRANTED, RESERVE_DECODE, START_PREFILL",
        "NONE, PREFILLED, RESERVE_DECODE, RESERVE_DECODE",
        "GRANTED, PREFILLED, START_DECODE, START_DECODE",
        "RUNNING, PREFILLED, NOTHING, NOTHING",
        "OFFERED, NONE, NOTHING, RESERVE_PREFILL",
    })
    void returnsTheNextStep(
            ReservationState decode,
            ReservationState prefill,
            PlacementStep reserveFirst,
            PlacementStep prefillFirst) {
        assertThat(RESERVE_FIRST.next(decode, prefill)).isEqualTo(reserveFirst);
        assertThat(PREFILL_FIRST.next(decode, prefill)).isEqualTo(prefillFirst);
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void bothOrdersStartTheDecodeInFourSteps(boolean reserveFirst) {
        PlacementOrder order = reserveFirst ? RESERVE_FIRST : PREFILL_FIRST;
        List<PlacementStep> steps = new ArrayList<>();
        ReservationState decode = ReservationState.NONE;
        ReservationState prefill = ReservationState.NONE;
        while (decode != ReservationState.RUNNING) {
            PlacementStep step = order.next(decode, prefill);
            steps.add(step);
            decode = step == PlacementStep.RESERVE_DECODE ? ReservationState.GRANTED : decode;
            prefill = step == PlacementStep.RESERVE_PREFILL ? ReservationState.GRANTED : prefill;
            prefill = step == PlacementStep.START_PREFILL ? ReservationState.PREFILLED : prefill;
            decode = step == PlacementStep.START_DECODE ? ReservationState.RUNNING : decode;
        }
        assertThat(steps)
                .containsExactlyInAnyOrder(
                        PlacementStep.RESERVE_DECODE,
                        PlacementStep.RESERVE_PREFILL,
                        PlacementStep.START_PREFILL,
                        PlacementStep.START_DECODE);
        assertThat(steps.indexOf(PlacementStep.RESERVE_DECODE)).isEqualTo(reserveFirst ? 0 : 2);
    }
}
