package dev.foxtailshed.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Both placement orders under the same seeded arrivals on a stepped clock. */
class PlacementDifferentialTest {

    private static final int REQUESTS = 500;
    private static final long PROMPT_TOKENS = 300;

    @ParameterizedTest
    @CsvSource({"11, 60, 12", "12, 90, 12", "13, 120, 12", "14, 90, 8", "15, 30, 12"})
    void reservingFirstNeverReadsInVainAndLosesNothing(
            long seed, long decodeTenths, long gapMillis) {
        Run ours =
                new Run(
                        new PlacementOrder.ReserveFirst(),
                        new LeastLoadedRouter(3_000, 1_000_000, 0, Long.MAX_VALUE),
                        new LeastLoadedRouter(3_000, 1_000_000, 0, Long.MAX_VALUE));
        Run naive =
                new Run(
                        new PlacementOrder.PrefillFirst(),
                        new RoundRobinRouter(),
                        new RoundRobinRouter());
        ours.play(seed, decodeTenths * 10, gapMillis);
        naive.play(seed, decodeTenths * 10, gapMillis);

        assertThat(ours.answered).isEqualTo(REQUESTS);
        assertThat(naive.answered).isEqualTo(REQUESTS);
        assertThat(ours.wastedReadings).isZero();
        assertThat(ours.readings).isLessThanOrEqualTo(naive.readings);
        assertThat(ours.pool.used() + naive.pool.used()).isZero();
        // A decode place stands idle while its prompt is read: the price of never reading in vain.
        // The last requests end in another order, which shifts the end by their own length.
        double price = 1 + Request.PREFILL_MILLIS / (decodeTenths * 10.0);
        double endMillis = naive.lastMillis * price + 2 * decodeTenths * 10;
        assertThat((double) ours.lastMillis).isLessThan(endMillis);
    }

    @ParameterizedTest
    @CsvSource({"21", "22", "23"})
    void theNaiveOrderReadsInVainWhenDecodeIsFull(long seed) {
        Run naive =
                new Run(
                        new PlacementOrder.PrefillFirst(),
                        new RoundRobinRouter(),
                        new RoundRobinRouter());
        naive.play(seed, 1_500, 40);

        assertThat(naive.wastedReadings).isPositive();
    }

    /** One version on its own pools. */
    private static final class Run {

        private final PlacementOrder order;
        private final PoolModel pool;
        private int answered;
        private int readings;
        private int wastedReadings;
        private long lastMillis;

        Run(PlacementOrder order, Router prefillRouter, Router decodeRouter) {
            this.order = order;
            this.pool = new PoolModel(prefillRouter, decodeRouter);
        }

        void play(long seed, long decodeMillis, long gapMillis) {
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

    /** One request that does what its order says. */
    private static final class Request {

        private static final long PREFILL_MILLIS = 60;

        private final Run run;
        private final long decodeMillis;
        private Optional<Integer> prefill = Optional.empty();
        private Optional<Integer> decode = Optional.empty();
        private ReservationState prefillState = ReservationState.NONE;
        private ReservationState decodeState = ReservationState.NONE;
        private int reading;

        Request(Run run, long decodeMillis) {
            this.run = run;
            this.decodeMillis = decodeMillis;
        }

        void step() {
            switch (run.order.next(decodeState, prefillState)) {
                case RESERVE_DECODE -> {
                    decode = run.pool.take(true, PROMPT_TOKENS);
                    decodeState =
                            decode.isPresent() ? ReservationState.GRANTED : ReservationState.NONE;
                    goOn(decode.isPresent());
                }
                case RESERVE_PREFILL -> {
                    prefill = run.pool.take(false, PROMPT_TOKENS);
                    prefillState =
                            prefill.isPresent() ? ReservationState.GRANTED : ReservationState.NONE;
                    goOn(prefill.isPresent());
                }
                case START_PREFILL -> {
                    prefillState = ReservationState.RUNNING;
                    run.readings++;
                    run.pool.timer.once(PREFILL_MILLIS, this::read);
                }
                case START_DECODE -> {
                    decodeState = ReservationState.RUNNING;
                    freePrefill();
                    run.pool.timer.once(decodeMillis, this::answered);
                }
                default -> {
                    // A timer brings the next step.
                }
            }
        }

        private void goOn(boolean placed) {
            if (placed) {
                step();
            } else {
                run.pool.await(this::step);
            }
        }

        private void read() {
            prefillState = ReservationState.PREFILLED;
            int own = ++reading;
            run.pool.timer.once(PoolModel.EXPORT_MILLIS, () -> evicted(own));
            step();
        }

        private void evicted(int own) {
            if (own == reading && prefillState == ReservationState.PREFILLED) {
                run.wastedReadings++;
                freePrefill();
            }
        }

        private void freePrefill() {
            int server = prefill.orElseThrow();
            prefill = Optional.empty();
            prefillState = ReservationState.NONE;
            run.pool.free(false, server);
        }

        private void answered() {
            run.answered++;
            run.lastMillis = run.pool.timer.nowMillis();
            run.pool.free(true, decode.orElseThrow());
        }
    }
}
