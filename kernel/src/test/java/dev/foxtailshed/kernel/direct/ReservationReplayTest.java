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
 * the prompt and most of the expected output and requires no further free space.
 */
class ReservationReplayTest {

    private static final long CACHE_TOKENS = 42_000;
    private static final long PREFILL_MILLIS = 250;
    private static final long STEP_MILLIS = 5;
    private static final double TOKENS_PER_MILLISECOND = 0.225;
    private static final long END_MILLIS = 30_000;

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

        long spareTokens();
    }

    private record Result(int uninterrupted, int preempted) {}

    private static final SizingPolicy BASELINE =
            new SizingPolicy() {
                @Override
                public long tokensToReserve(TokenCounts tokenCounts) {
                    return tokenCounts.tokensToReserve(0.8);
                }

                @Override
                public long spareTokens() {
                    return 0;
                }
            };

    private static final SizingPolicy CURRENT =
            new SizingPolicy() {
                private final ReservationSizer sizer = new ReservationSizer();

                @Override
                public long tokensToReserve(TokenCounts tokenCounts) {
                    return sizer.tokensToReserve(tokenCounts);
                }

                @Override
                public long spareTokens() {
                    return sizer.spareTokens(0, false, CACHE_TOKENS);
                }
            };

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void fewerStreamsArePreemptedAndNoFewerCompleteUninterrupted(long seed) {
        Result baseline = simulate(seed, BASELINE);
        Result current = simulate(seed, CURRENT);

        assertThat(current.preempted()).isLessThanOrEqualTo(baseline.preempted() / 2);
        assertThat(current.uninterrupted()).isGreaterThanOrEqualTo(baseline.uninterrupted());
    }

    @ParameterizedTest
    @CsvSource({
        "3000, false, 2520",
        "3000, true, 6300",
        "41000, false, 1000",
        "41000, true, 1000",
        "42000, false, 0"
    })
    void lateRequestsLeaveMoreFreeAndLargeOnesLess(
            long reservedTokens, boolean late, long spareTokens) {
        assertThat(new ReservationSizer().spareTokens(reservedTokens, late, CACHE_TOKENS))
                .isEqualTo(spareTokens);
    }

    private static Result simulate(long seed, SizingPolicy policy) {
        Random random = new Random(seed);
        List<Stream> streams = new ArrayList<>();
        Deque<Stream> preemptedStreams = new ArrayDeque<>();
        int uninterrupted = 0;
        int preempted = 0;
        TokenCounts next = tokenCounts(random);
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            for (Stream stream : streams) {
                stream.generatedTokens +=
                        now < stream.startMillis ? 0 : STEP_MILLIS * TOKENS_PER_MILLISECOND;
            }
            uninterrupted += (int) streams.stream().filter(s -> s.isDone() && !s.preempted).count();
            streams.removeIf(Stream::isDone);
            while (totalHeldTokens(streams, now) > CACHE_TOKENS) {
                Stream newest = streams.remove(streams.size() - 1);
                newest.preempted = true;
                preemptedStreams.addLast(newest);
                preempted++;
            }
            long tokensToReserve = policy.tokensToReserve(next);
            if (!preemptedStreams.isEmpty()) {
                Stream first = preemptedStreams.peekFirst();
                if (totalHeldTokens(streams, now) + first.promptTokens + first.generatedTokens
                        <= CACHE_TOKENS) {
                    // The decode server processes the prompt again, at half the speed.
                    first.startMillis = now + 2 * PREFILL_MILLIS;
                    streams.add(preemptedStreams.removeFirst());
                }
            } else if (totalHeldTokens(streams, now) + tokensToReserve + policy.spareTokens()
                    <= CACHE_TOKENS) {
                long output = next.maximumOutputTokens();
                streams.add(
                        new Stream(
                                now + PREFILL_MILLIS,
                                next.promptTokens(),
                                output,
                                tokensToReserve));
                next = tokenCounts(random);
            }
        }
        return new Result(uninterrupted, preempted);
    }

    private static TokenCounts tokenCounts(Random random) {
        long prompt = Math.min(6_600, (long) (3_000 * Math.exp(0.5 * random.nextGaussian())));
        double expected = 660 * Math.exp(0.5 * random.nextGaussian());
        long output = Math.min(1_870, (long) (expected * Math.exp(0.4 * random.nextGaussian())));
        return new TokenCounts(200 + prompt, output, OptionalLong.of((long) expected));
    }

    private static long totalHeldTokens(List<Stream> streams, long nowMillis) {
        return streams.stream().mapToLong(stream -> stream.heldTokens(nowMillis)).sum();
    }
}
