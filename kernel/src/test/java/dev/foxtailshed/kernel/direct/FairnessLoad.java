package dev.foxtailshed.kernel.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;

/**
 * A load pattern of the streams of the ticketing deployment.
 *
 * @param name the load in words
 * @param workspaces the workspaces
 * @param entries the number of entries
 * @param capacityPerSecond the streams that the pool can serve
 * @param burstMillis the length of the burst, during which results are measured
 */
record FairnessLoad(
        String name,
        List<Workspace> workspaces,
        int entries,
        double capacityPerSecond,
        long burstMillis) {

    /** Usual arrivals of both kinds of streams. */
    static final double USUAL_PER_SECOND = 2.53 + 38.2;

    private static final int ENTRIES = 28;
    private static final long BURST_MILLIS = 6_500;
    private static final int WORKSPACES = 16;
    private static final double MEAN_TOKENS = 3_267;
    private static final double MEAN_STREAM_SECONDS = 3.5;
    private static final int MAXIMUM_ATTEMPTS = 40;

    /**
     * A workspace.
     *
     * @param share its part of the usual arrivals
     * @param burstFactor its arrivals in the burst, relative to the usual ones
     * @param firstPriority the priority of its urgent streams; its patient ones follow
     * @param behavior what its callers do when they are refused
     */
    record Workspace(double share, double burstFactor, int firstPriority, Behavior behavior) {

        Workspace withBehavior(Behavior other) {
            return new Workspace(share, burstFactor, firstPriority, other);
        }
    }

    /** What refused callers do. */
    enum Behavior {
        /** They do not return. */
        LEAVE,
        /** They return once, after the time that the response names. */
        RETURN_LATER,
        /** They return at once, until their deadline. */
        RETURN_AT_ONCE;

        private static final RetryAfterCalculator RETRY_AFTER = new RetryAfterCalculator();

        OptionalLong returnMillis(int attempts, long remainingMillis, Random random) {
            boolean returns =
                    this == RETURN_LATER && attempts == 1
                            || this == RETURN_AT_ONCE && attempts < MAXIMUM_ATTEMPTS;
            if (!returns || remainingMillis <= 0) {
                return OptionalLong.empty();
            }
            return OptionalLong.of(
                    this == RETURN_AT_ONCE
                            ? 20 + random.nextInt(100)
                            : RETRY_AFTER.retryAfterMillis(
                                    0, remainingMillis, random.nextDouble()));
        }
    }

    double usualPerSecond(FairnessReplay.Kind kind) {
        return kind == FairnessReplay.Kind.URGENT ? 2.53 : 38.2;
    }

    long poolTokens() {
        return (long) (capacityPerSecond * MEAN_STREAM_SECONDS * MEAN_TOKENS) + spareTokens();
    }

    /** The tokens that must stay free. */
    long spareTokens() {
        return 200;
    }

    FairnessLoad withEntries(int other) {
        return new FairnessLoad(name, workspaces, other, capacityPerSecond, burstMillis);
    }

    FairnessLoad withBurstMillis(long other) {
        return new FairnessLoad(name, workspaces, entries, capacityPerSecond, other);
    }

    /** Sixteen workspaces with sizes by Zipf's law, some of which send more in the burst. */
    static FairnessLoad hotWorkspaces(String name, double factor, List<Integer> hot) {
        double[] shares = zipfShares();
        return new FairnessLoad(
                name,
                workspaces(shares, workspace -> hot.contains(workspace), factor, 0),
                ENTRIES,
                1.15 * USUAL_PER_SECOND,
                BURST_MILLIS);
    }

    /** All workspaces send more in the burst, to a pool that suffices for the usual load. */
    static FairnessLoad generalBurst(String name, double factor) {
        return new FairnessLoad(
                name,
                workspaces(zipfShares(), workspace -> true, factor, 0),
                ENTRIES,
                USUAL_PER_SECOND,
                BURST_MILLIS);
    }

    /** The usual load, to a pool that is too small for it. */
    static FairnessLoad fullPool(String name, double overload) {
        return new FairnessLoad(
                name,
                workspaces(zipfShares(), workspace -> false, 1, 0),
                ENTRIES,
                USUAL_PER_SECOND / overload,
                BURST_MILLIS);
    }

    /** Three large workspaces are more urgent than the others and alone fill the pool. */
    static FairnessLoad urgentWorkspaces(String name, double factor) {
        return new FairnessLoad(
                name,
                workspaces(zipfShares(), workspace -> workspace < 3, factor, 2),
                ENTRIES,
                USUAL_PER_SECOND,
                BURST_MILLIS);
    }

    /** A burst of pairs of equal workspaces; the second of each pair may behave differently. */
    static FairnessLoad pairs(String name, Behavior first, Behavior second) {
        double[] zipf = zipfShares();
        double[] shares =
                IntStream.range(0, WORKSPACES).mapToDouble(i -> zipf[i / 2 * 2]).toArray();
        double sum = DoubleStream.of(shares).sum();
        double[] normalized = DoubleStream.of(shares).map(share -> share / sum).toArray();
        List<Workspace> workspaces = new ArrayList<>();
        for (Workspace workspace : workspaces(normalized, unused -> true, 2, 0)) {
            workspaces.add(workspace.withBehavior(workspaces.size() % 2 == 0 ? first : second));
        }
        return new FairnessLoad(name, workspaces, ENTRIES, USUAL_PER_SECOND, BURST_MILLIS);
    }

    private static double[] zipfShares() {
        double sum = IntStream.rangeClosed(1, WORKSPACES).mapToDouble(rank -> 1.0 / rank).sum();
        return IntStream.rangeClosed(1, WORKSPACES).mapToDouble(rank -> 1 / (rank * sum)).toArray();
    }

    private static List<Workspace> workspaces(
            double[] shares, IntPredicate hot, double hotFactor, int otherPriority) {
        return IntStream.range(0, shares.length)
                .mapToObj(
                        i ->
                                new Workspace(
                                        shares[i],
                                        hot.test(i) ? hotFactor : 1,
                                        hot.test(i) ? 0 : otherPriority,
                                        Behavior.LEAVE))
                .toList();
    }
}
