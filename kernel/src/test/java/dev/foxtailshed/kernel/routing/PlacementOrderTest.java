package dev.foxtailshed.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The two orders in which a request gets its places. */
class PlacementOrderTest {

    private static final PlacementOrder RESERVE_FIRST = new PlacementOrder.ReserveFirst();
    private static final PlacementOrder PREFILL_FIRST = new PlacementOrder.PrefillFirst();

    @ParameterizedTest
    @CsvSource({
        "NONE, NONE, RESERVE_DECODE, RESERVE_PREFILL",
        "GRANTED, NONE, RESERVE_PREFILL, RESERVE_PREFILL",
        "GRANTED, GRANTED, READ_PROMPT, READ_PROMPT",
        "NONE, GRANTED, RESERVE_DECODE, READ_PROMPT",
        "NONE, READ, RESERVE_DECODE, RESERVE_DECODE",
        "GRANTED, READ, WRITE_ANSWER, WRITE_ANSWER",
        "RUNNING, READ, NOTHING, NOTHING",
        "OFFERED, NONE, NOTHING, RESERVE_PREFILL",
    })
    void namesTheNextStep(
            ReservationState decode,
            ReservationState prefill,
            PlacementStep reserveFirst,
            PlacementStep prefillFirst) {
        assertThat(RESERVE_FIRST.next(decode, prefill)).isEqualTo(reserveFirst);
        assertThat(PREFILL_FIRST.next(decode, prefill)).isEqualTo(prefillFirst);
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void bothOrdersReachTheAnswerInFourSteps(boolean reserveFirst) {
        PlacementOrder order = reserveFirst ? RESERVE_FIRST : PREFILL_FIRST;
        List<PlacementStep> steps = new ArrayList<>();
        ReservationState decode = ReservationState.NONE;
        ReservationState prefill = ReservationState.NONE;
        while (decode != ReservationState.RUNNING) {
            PlacementStep step = order.next(decode, prefill);
            steps.add(step);
            decode = step == PlacementStep.RESERVE_DECODE ? ReservationState.GRANTED : decode;
            prefill = step == PlacementStep.RESERVE_PREFILL ? ReservationState.GRANTED : prefill;
            prefill = step == PlacementStep.READ_PROMPT ? ReservationState.READ : prefill;
            decode = step == PlacementStep.WRITE_ANSWER ? ReservationState.RUNNING : decode;
        }
        assertThat(steps)
                .containsExactlyInAnyOrder(
                        PlacementStep.RESERVE_DECODE,
                        PlacementStep.RESERVE_PREFILL,
                        PlacementStep.READ_PROMPT,
                        PlacementStep.WRITE_ANSWER);
        assertThat(steps.indexOf(PlacementStep.RESERVE_DECODE)).isEqualTo(reserveFirst ? 0 : 2);
    }
}
