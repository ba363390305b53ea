package dev.foxtailshed.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares both placement orders with the same random arrivals in simulated time. */
class PlacementDifferentialTest {

    private static final int REQUESTS = 500;
    private static final long PROMPT_TOKENS = 300;

    @ParameterizedTest
    @CsvSource({"11, 60, 12", "12, 90, 12", "13, 120, 12", "14, 90, 8", "15, 30, 12"})
    void reserveFirstWastesNoPrefillAndAnswersAllRequests(
            long seed, long decodeTenths, long gapMillis) {
        Simulation reserveFirst =
                new Simulation(
                        new PlacementOrder.ReserveFirst(),
                        new LeastLoadedRouter(3_000, 1_000_000, 0, Long.MAX_VALUE),
                        new LeastLoadedRouter(3_000, 1_000_000, 0, Long.MAX_VALUE));
        Simulation prefillFirst =
                new Simulation(
                        new PlacementOrder.PrefillFirst(),
                        new RoundRobinRouter(),
                        new RoundRobinRouter());
        reserveFirst.simulate(seed, decodeTenths * 10, gapMillis);
        prefillFirst.simulate(seed, decodeTenths * 10, gapMillis);

        assertThat(reserveFirst.answered).isEqualTo(REQUESTS);
        assertThat(prefillFirst.answered).isEqualTo(REQUESTS);
        assertThat(reserveFirst.wastedPrefills).isZero();
        assertThat(reserveFirst.prefills).isLessThanOrEqualTo(prefillFirst.prefills);
        assertThat(reserveFirst.pool.usedSlots() + prefillFirst.pool.usedSlots()).isZero();
        // A decode slot is idle during the prefill, which is the cost of never wasting a prefill.
        // The last requests finish in a different order, which shifts the end by their duration.
        double idleFactor = 1 + Request.PREFILL_MILLIS / (decodeTenths * 10.0);
        double endMillis = prefillFirst.lastMillis * idleFactor + 2 * decodeTenths * 10;
        assertThat((double) reserveFirst.lastMillis).isLessThan(endMillis);
    }

    @ParameterizedTest
    @CsvSource({"21", "22", "23"})
    void prefillFirstWastesPrefillsWhenDecodeIsFull(long seed) {
        Simulation prefillFirst =
                new Simulation(
                        new PlacementOrder.PrefillFirst(),
                        new RoundRobinRouter(),
                        new RoundRobinRouter());
        prefillFirst.simulate(seed, 1_500, 40);

        assertThat(prefillFirst.wastedPrefills).isPositive();
    }

    /** A simulation of one placement order with its own pools. */
    private static final class Simulation {

        private final PlacementOrder order;
        private final PoolModel pool;
        private int answered;
        private int prefills;
        private int wastedPrefills;
        private long lastMillis;

        Simulation(PlacementOrder order, Router prefillRouter, Router decodeRouter) {
            this.order = order;
            this.pool = new PoolModel(prefillRouter, decodeRouter);
        }

        void simulate(long seed, long decodeMillis, long gapMillis) {
            Random random = new Random(seed);
            long atMillis = 0;
            for (int i = 0; i < REQUESTS; i++) {
                atMillis += (long) (-Math.log(1 - random.nextDouble()) * gapMillis);
                long takesMillis = decodeMillis / 2 + random.nextInt((int) decodeMillis);
                Request request = new Request(this, takesMillis);
                pool.timer.once(atMillis, request::step);
            }
            pool.timer.advance(100_000_000);
        }
    }

    /** A simulated request that follows the steps of its placement order. */
    private static final class Request {

        private static final long PREFILL_MILLIS = 60;

        private final Simulation simulation;
        private final long decodeMillis;
        private Optional<Integer> prefill = Optional.empty();
        private Optional<Integer> decode = Optional.empty();
        private ReservationState prefillState = ReservationState.NONE;
        private ReservationState decodeState = ReservationState.NONE;
        private int lastPrefill;

        Request(Simulation simulation, long decodeMillis) {
            this.simulation = simulation;
            this.decodeMillis = decodeMillis;
        }

        void step() {
            switch (simulation.order.next(decodeState, prefillState)) {
                case RESERVE_DECODE -> {
                    decode = simulation.pool.reserve(true, PROMPT_TOKENS);
                    decodeState =
                            decode.isPresent() ? ReservationState.GRANTED : ReservationState.NONE;
                    stepOrWait(decode.isPresent());
                }
                case RESERVE_PREFILL -> {
                    prefill = simulation.pool.reserve(false, PROMPT_TOKENS);
                    prefillState =
                            prefill.isPresent() ? ReservationState.GRANTED : ReservationState.NONE;
                    stepOrWait(prefill.isPresent());
                }
                case START_PREFILL -> {
                    prefillState = ReservationState.RUNNING;
                    simulation.prefills++;
                    simulation.pool.timer.once(PREFILL_MILLIS, this::prefillFinished);
                }
                case START_DECODE -> {
                    decodeState = ReservationState.RUNNING;
                    releasePrefill();
                    simulation.pool.timer.once(decodeMillis, this::answered);
                }
                default -> {
                    // The next step is triggered by a timer.
                }
            }
        }

        private void stepOrWait(boolean reserved) {
            if (reserved) {
                step();
            } else {
                simulation.pool.retryOnRelease(this::step);
            }
        }

        private void prefillFinished() {
            prefillState = ReservationState.PREFILLED;
            int number = ++lastPrefill;
            simulation.pool.timer.once(PoolModel.EXPORT_MILLIS, () -> evicted(number));
            step();
        }

        private void evicted(int number) {
            if (number == lastPrefill && prefillState == ReservationState.PREFILLED) {
                simulation.wastedPrefills++;
                releasePrefill();
            }
        }

        private void releasePrefill() {
            int server = prefill.orElseThrow();
            prefill = Optional.empty();
            prefillState = ReservationState.NONE;
            simulation.pool.release(false, server);
        }

        private void answered() {
            simulation.answered++;
            simulation.lastMillis = simulation.pool.timer.nowMillis();
            simulation.pool.release(true, decode.orElseThrow());
        }
    }
}
