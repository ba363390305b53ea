package dev.foxtailshed.kernel.direct.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares what the entries admit with what one central token bucket admits.
 *
 * <p>Measured at the smallest limit, 47,000 tokens/s at 28 entries, with delays of 1 to 3 ms: 0.989
 * to 1.022 of the tokens and 0.973 to 1.011 of the requests. At 40, 100 and 400 % of the limit, the
 * entries make 4 to 10, 14 to 20 and 16 to 70 draws/s, and 19 to 26, 38 to 50 and 54 collections/s.
 * At other limits and with 4 and 350 entries, 0.974 to 1.027 of the tokens.
 */
class QuotaSteadyStateTest {

    private static final double LARGE_TOKENS = 3_270;
    private static final double SMALL_TOKENS = 200;
    private static final double LEAST_SHARE = 0.95;
    private static final long WARM_UP_MILLIS = 20_000;
    private static final long MEASURED_MILLIS = 40_000;
    private static final int SEEDS = 3;

    private record Limit(int entries, double rate, double burst, double slack) {
        TokenQuota quota() {
            return new TokenQuota(rate, burst);
        }

        QuotaBounds bounds() {
            return new QuotaBounds(8_000, 0.1, slack);
        }
    }

    private static final Limit SMALLEST = new Limit(28, 47_000, 47_000, 190_000);
    private static final Limit LARGEST = new Limit(28, 1_000_000, 1_000_000, 190_000);
    private static final Limit FEW_ENTRIES = new Limit(4, 47_000, 47_000, 27_200);
    private static final Limit MANY_ENTRIES = new Limit(350, 47_000, 47_000, 2_380_000);

    /**
     * Requests of one workspace.
     *
     * @param connected the number of entries that get them
     * @param factor the demand in relation to the limit
     * @param smallShare the share of small requests
     * @param waits whether rejected requests wait for credit, for as long as others do for draws
     */
    private record Demand(int connected, double factor, double smallShare, boolean waits) {
        double tokens(QuotaSimulation simulation) {
            boolean isSmall = simulation.random.nextDouble() < smallShare;
            return isSmall ? SMALL_TOKENS : LARGE_TOKENS;
        }

        double perSecond(Limit limit) {
            double mean = smallShare * SMALL_TOKENS + (1 - smallShare) * LARGE_TOKENS;
            return factor * limit.rate() / mean;
        }
    }

    /** What was admitted while it was measured, and the messages for it. */
    private static final class Result {
        private double tokens;
        private double centralTokens;
        private long requests;
        private long centralRequests;
        private long draws;
        private long collects;
        private double millis;

        double tokenShare() {
            return tokens / centralTokens;
        }

        double requestShare() {
            return (double) requests / centralRequests;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%.3f of the tokens, %.3f of the requests; %.1f draws/s, %.1f collects/s",
                    tokenShare(),
                    requestShare(),
                    draws * 1_000 / millis,
                    collects * 1_000 / millis);
        }
    }

    static Stream<Arguments> steadyStates() {
        List<Arguments> runs = new ArrayList<>();
        for (double factor : new double[] {0.4, 1, 4}) {
            for (double smallShare : new double[] {0, 0.5}) {
                for (int connected : new int[] {28, 9, 1}) {
                    runs.add(
                            Arguments.of(
                                    SMALLEST, new Demand(connected, factor, smallShare, true)));
                    runs.add(
                            Arguments.of(
                                    SMALLEST, new Demand(connected, factor, smallShare, false)));
                }
            }
            runs.add(Arguments.of(LARGEST, new Demand(28, factor, 0.5, true)));
            runs.add(Arguments.of(LARGEST, new Demand(1, factor, 0, true)));
            runs.add(Arguments.of(FEW_ENTRIES, new Demand(4, factor, 0.5, true)));
            runs.add(Arguments.of(FEW_ENTRIES, new Demand(1, factor, 0, true)));
            runs.add(Arguments.of(MANY_ENTRIES, new Demand(350, factor, 0.5, true)));
            runs.add(Arguments.of(MANY_ENTRIES, new Demand(1, factor, 0, true)));
        }
        return runs.stream();
    }

    /** Guards against credit that is left where no requests come, or expires unused. */
    @ParameterizedTest
    @MethodSource("steadyStates")
    void admitsWhatACentralBucketAdmits(Limit limit, Demand demand) {
        Result result = new Result();
        for (long seed = 1; seed <= SEEDS; seed++) {
            QuotaSimulation simulation = start(limit, seed);
            measure(simulation, limit, demand, result);
        }

        System.out.println(limit + ", " + demand + ": " + result);
        assertThat(result.tokenShare()).isGreaterThanOrEqualTo(LEAST_SHARE);
        assertThat(result.requestShare()).isGreaterThanOrEqualTo(LEAST_SHARE);
    }

    /**
     * Guards against a partition in which the entries stop to serve, rather than share less.
     *
     * <p>Measured: 0.91, 0.79 and 0.98 of the tokens, with 4, 13 and 44 draws/s and 25, 44 and 57
     * collections/s. Each entry needs a time-out of 500 ms to find out that a home is gone.
     */
    @ParameterizedTest
    @CsvSource({"0.4, 0.8", "1, 0.65", "4, 0.9"})
    void admitsMostWhileAThirdIsPartitioned(double factor, double leastShare) {
        Demand demand = new Demand(28, factor, 0, true);
        Result result = new Result();
        for (long seed = 1; seed <= 2 * SEEDS; seed++) {
            QuotaSimulation simulation = start(SMALLEST, seed);
            List<QuotaSimulation.Entry> all = new ArrayList<>(simulation.entries);
            Collections.shuffle(all, simulation.random);
            simulation.schedule(WARM_UP_MILLIS, () -> simulation.isolate(all.subList(0, 9)));
            measure(simulation, SMALLEST, demand, WARM_UP_MILLIS + 12_000, result);
        }

        System.out.println("a third partitioned, " + demand + ": " + result);
        assertThat(result.tokenShare()).isGreaterThanOrEqualTo(leastShare);
    }

    private static QuotaSimulation start(Limit limit, long seed) {
        return QuotaSimulation.started(seed, limit.entries(), limit.quota(), limit.bounds());
    }

    private static void measure(
            QuotaSimulation simulation, Limit limit, Demand demand, Result result) {
        measure(simulation, limit, demand, WARM_UP_MILLIS + MEASURED_MILLIS, result);
    }

    private static void measure(
            QuotaSimulation simulation, Limit limit, Demand demand, long endMillis, Result result) {
        CentralBucket central = new CentralBucket(limit.quota());
        simulation.waitsWhenRejected = demand.waits();
        simulation.repeat(
                demand.perSecond(limit),
                endMillis,
                () -> {
                    double tokens = demand.tokens(simulation);
                    boolean isAdmitted = central.spend(tokens, simulation.now());
                    if (isAdmitted && simulation.now() >= WARM_UP_MILLIS) {
                        result.centralTokens += tokens;
                        result.centralRequests++;
                    }
                    int entry = simulation.random.nextInt(demand.connected());
                    simulation.entries.get(entry).request(tokens, false);
                });
        simulation.runUntil(WARM_UP_MILLIS - 1);
        long admitted = simulation.admitted;
        long draws = simulation.drawMessages;
        long collects = simulation.collectMessages;
        simulation.runUntil(endMillis - 1);
        result.tokens += simulation.spent.between(WARM_UP_MILLIS, endMillis);
        result.requests += simulation.admitted - admitted;
        result.draws += simulation.drawMessages - draws;
        result.collects += simulation.collectMessages - collects;
        result.millis += endMillis - WARM_UP_MILLIS;
    }
}
