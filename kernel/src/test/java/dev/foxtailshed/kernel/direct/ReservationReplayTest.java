package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates a burst at one decode server, which starts empty and always has a request waiting.
 *
 * <p>The server counts a reservation until its request starts, and then what the request holds.
 * When memory runs out, it preempts the newest stream, which starts again. The baseline reserves
 * the prompt and most of the expected output and requires no further free space; the second one
 * keeps a fixed share of the KV cache free, whatever the length of the outputs.
 */
class ReservationReplayTest {

    private static final long PREFILL_MILLIS = 250;
    private static final long STEP_MILLIS = 5;
    private static final long END_MILLIS = 30_000;

    /** Outputs that are a fifth as long as the prompts. */
    private static final Load SHORT_OUTPUTS = new Load(42_000, 0.225, 3_000, 6_600, 660, 1_870);

    /** Outputs that are nearly as long as the prompts, at a server for few streams. */
    private static final Load LONG_OUTPUTS = new Load(64_000, 1.1, 5_000, 11_000, 3_800, 7_930);

    /**
     * A decode server and the sizes of its requests.
     *
     * @param cacheTokens the capacity of the KV cache
     * @param tokensPerMilli the speed at which one stream's output grows
     * @param medianPrompt the median size of the prompts
     * @param maximumPrompt their largest size
     * @param medianOutput the median of the callers' estimates of the output
     * @param maximumOutput the largest output
     */
    private record Load(
            long cacheTokens,
            double tokensPerMilli,
            long medianPrompt,
            long maximumPrompt,
            long medianOutput,
            long maximumOutput) {

        TokenCounts nextRequest(Random random) {
            long prompt =
                    Math.min(
                            maximumPrompt,
                            (long) (medianPrompt * Math.exp(0.5 * random.nextGaussian())));
            double expected = medianOutput * Math.exp(0.5 * random.nextGaussian());
            long output =
                    Math.min(
                            maximumOutput,
                            (long) (expected * Math.exp(0.4 * random.nextGaussian())));
            return new TokenCounts(200 + prompt, output, OptionalLong.of((long) expected));
        }
    }

    private static final class Stream {
        private long startMillis;
        private boolean preempted;
        private final long promptTokens;
        private final long outputTokens;
        private final long reservedTokens;
        private double generatedTokens;

        Stream(long startMillis, long promptTokens, long outputTokens, long reservedTokens) {
            this.startMillis = startMillis;
            this.promptTokens = promptTokens;
            this.outputTokens = outputTokens;
            this.reservedTokens = reservedTokens;
        }

        long heldTokens(long nowMillis) {
            boolean prefilling = nowMillis < startMillis && !preempted;
            return prefilling ? reservedTokens : promptTokens + (long) generatedTokens;
        }

        boolean isDone() {
            return generatedTokens >= outputTokens;
        }
    }

    private interface SizingPolicy {
        long tokensToReserve(TokenCounts tokenCounts);

        long spareTokens(long cacheTokens);

        default void recordArrival(TokenCounts tokenCounts) {}
    }

    private record Result(int uninterrupted, int preempted) {}

    private static final SizingPolicy BASELINE =
            new SizingPolicy() {
                @Override
                public long tokensToReserve(TokenCounts tokenCounts) {
                    return tokenCounts.tokensToReserve(0.8);
                }

                @Override
                public long spareTokens(long cacheTokens) {
                    return 0;
                }
            };

    private static final SizingPolicy FIXED_SHARE =
            new SizingPolicy() {
                @Override
                public long tokensToReserve(TokenCounts tokenCounts) {
                    return tokenCounts.tokensToReserve(0.3);
                }

                @Override
                public long spareTokens(long cacheTokens) {
                    return cacheTokens * 6 / 100;
                }
            };

    private static SizingPolicy currentPolicy() {
        RequestSizeEstimator sizes = new RequestSizeEstimator();
        ReservationSizer sizer = new ReservationSizer(sizes);
        return new SizingPolicy() {
            @Override
            public long tokensToReserve(TokenCounts tokenCounts) {
                return sizer.tokensToReserve(tokenCounts);
            }

            @Override
            public long spareTokens(long cacheTokens) {
                return sizer.spareTokens(0, false, cacheTokens);
            }

            @Override
            public void recordArrival(TokenCounts tokenCounts) {
                sizes.recordArrival(tokenCounts);
            }
        };
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void fewerStreamsArePreemptedAndNoFewerCompleteUninterrupted(long seed) {
        Result baseline = simulate(SHORT_OUTPUTS, seed, BASELINE);
        Result current = simulate(SHORT_OUTPUTS, seed, currentPolicy());

        assertThat(current.preempted()).isLessThanOrEqualTo(baseline.preempted() / 2);
        assertThat(current.uninterrupted()).isGreaterThanOrEqualTo(baseline.uninterrupted());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void longOutputsGetMoreFreeSpaceThanAFixedShare(long seed) {
        Result fixedShare = simulate(LONG_OUTPUTS, seed, FIXED_SHARE);
        Result current = simulate(LONG_OUTPUTS, seed, currentPolicy());

        assertThat(current.preempted()).isLessThanOrEqualTo(fixedShare.preempted() / 2);
        assertThat(current.uninterrupted()).isGreaterThanOrEqualTo(fixedShare.uninterrupted());
    }

    /** After many requests of 3,000 prompt tokens and 700 output tokens. */
    @ParameterizedTest
    @CsvSource({
        "42000, 3000, false, 2100",
        "42000, 3000, true, 5100",
        "42000, 41000, false, 1000",
        "42000, 41000, true, 1000",
        "42000, 42000, false, 0",
        "100000, 3000, false, 2100",
        "6000, 3000, false, 1500"
    })
    void spareSpaceFollowsTheOutputsAndIsLessForLargeRequests(
            long cacheTokens, long reservedTokens, boolean late, long spareTokens) {
        RequestSizeEstimator sizes = new RequestSizeEstimator();
        for (int i = 0; i < 500; i++) {
            sizes.recordArrival(new TokenCounts(3_000, 2_000, OptionalLong.of(700)));
        }
        assertThat(new ReservationSizer(sizes).spareTokens(reservedTokens, late, cacheTokens))
                .isEqualTo(spareTokens);
    }

    private static Result simulate(Load load, long seed, SizingPolicy policy) {
        Random random = new Random(seed);
        List<Stream> streams = new ArrayList<>();
        Deque<Stream> preemptedStreams = new ArrayDeque<>();
        int uninterrupted = 0;
        int preempted = 0;
        TokenCounts next = load.nextRequest(random);
        policy.recordArrival(next);
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            for (Stream stream : streams) {
                stream.generatedTokens +=
                        now < stream.startMillis ? 0 : STEP_MILLIS * load.tokensPerMilli();
            }
            uninterrupted += (int) streams.stream().filter(s -> s.isDone() && !s.preempted).count();
            streams.removeIf(Stream::isDone);
            while (totalHeldTokens(streams, now) > load.cacheTokens()) {
                Stream newest = streams.remove(streams.size() - 1);
                newest.preempted = true;
                preemptedStreams.addLast(newest);
                preempted++;
            }
            long tokensToReserve = policy.tokensToReserve(next);
            if (!preemptedStreams.isEmpty()) {
                Stream first = preemptedStreams.peekFirst();
                if (totalHeldTokens(streams, now) + first.promptTokens + first.generatedTokens
                        <= load.cacheTokens()) {
                    // The decode server processes the prompt again, at half the speed.
                    first.startMillis = now + 2 * PREFILL_MILLIS;
                    streams.add(preemptedStreams.removeFirst());
                }
            } else if (totalHeldTokens(streams, now)
                            + tokensToReserve
                            + policy.spareTokens(load.cacheTokens())
                    <= load.cacheTokens()) {
                long output = next.maximumOutputTokens();
                streams.add(
                        new Stream(
                                now + PREFILL_MILLIS,
                                next.promptTokens(),
                                output,
                                tokensToReserve));
                next = load.nextRequest(random);
                policy.recordArrival(next);
            }
        }
        return new Result(uninterrupted, preempted);
    }

    private static long totalHeldTokens(List<Stream> streams, long nowMillis) {
        return streams.stream().mapToLong(stream -> stream.heldTokens(nowMillis)).sum();
    }
}
