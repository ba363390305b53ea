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
 * Replays a burst at one decode server, which starts empty and always has a request waiting.
 *
 * <p>The server counts reservations until their request starts, and then what the request holds;
 * when memory runs out, it preempts the newest stream, which starts again. The baseline reserves
 * the prompt with most of the expected output and asks for nothing beyond.
 */
class ReservationReplayTest {

    private static final long CACHE_TOKENS = 42_000;
    private static final long READ_MILLIS = 250;
    private static final long STEP_MILLIS = 5;
    private static final double TOKENS_PER_MILLI = 0.225;
    private static final long END_MILLIS = 30_000;

    private static final class Stream {
        private long startMillis;
        private boolean preempted;
        private final long promptTokens;
        private final long outputTokens;
        private final long reservedTokens;
        private double made;

        Stream(long startMillis, long promptTokens, long outputTokens, long reservedTokens) {
            this.startMillis = startMillis;
            this.promptTokens = promptTokens;
            this.outputTokens = outputTokens;
            this.reservedTokens = reservedTokens;
        }

        long heldTokens(long nowMillis) {
            boolean reading = nowMillis < startMillis && !preempted;
            return reading ? reservedTokens : promptTokens + (long) made;
        }

        boolean isDone() {
            return made >= outputTokens;
        }
    }

    private interface Sizes {
        long reserve(TokenCounts demand);

        long spare();
    }

    private record Result(int undisturbed, int preempted) {}

    private static final Sizes BASELINE =
            new Sizes() {
                @Override
                public long reserve(TokenCounts demand) {
                    return demand.tokensToReserve(0.8);
                }

                @Override
                public long spare() {
                    return 0;
                }
            };

    private static final Sizes CURRENT =
            new Sizes() {
                private final ReservationSizer size = new ReservationSizer();

                @Override
                public long reserve(TokenCounts demand) {
                    return size.tokensToReserve(demand);
                }

                @Override
                public long spare() {
                    return size.spareTokens(0, false, CACHE_TOKENS);
                }
            };

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void fewerStreamsArePreemptedAndNoFewerCompleteUndisturbed(long seed) {
        Result baseline = replay(seed, BASELINE);
        Result current = replay(seed, CURRENT);

        assertThat(current.preempted()).isLessThanOrEqualTo(baseline.preempted() / 2);
        assertThat(current.undisturbed()).isGreaterThanOrEqualTo(baseline.undisturbed());
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

    private static Result replay(long seed, Sizes sizes) {
        Random random = new Random(seed);
        List<Stream> streams = new ArrayList<>();
        Deque<Stream> again = new ArrayDeque<>();
        int undisturbed = 0;
        int preempted = 0;
        TokenCounts next = demand(random);
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            for (Stream stream : streams) {
                stream.made += now < stream.startMillis ? 0 : STEP_MILLIS * TOKENS_PER_MILLI;
            }
            undisturbed += (int) streams.stream().filter(s -> s.isDone() && !s.preempted).count();
            streams.removeIf(Stream::isDone);
            while (held(streams, now) > CACHE_TOKENS) {
                Stream newest = streams.remove(streams.size() - 1);
                newest.preempted = true;
                again.addLast(newest);
                preempted++;
            }
            long reserve = sizes.reserve(next);
            if (!again.isEmpty()) {
                Stream first = again.peekFirst();
                if (held(streams, now) + first.promptTokens + first.made <= CACHE_TOKENS) {
                    // It is read again at the decode server, at half the speed.
                    first.startMillis = now + 2 * READ_MILLIS;
                    streams.add(again.removeFirst());
                }
            } else if (held(streams, now) + reserve + sizes.spare() <= CACHE_TOKENS) {
                long output = next.maximumOutputTokens();
                streams.add(new Stream(now + READ_MILLIS, next.promptTokens(), output, reserve));
                next = demand(random);
            }
        }
        return new Result(undisturbed, preempted);
    }

    private static TokenCounts demand(Random random) {
        long prompt = Math.min(6_600, (long) (3_000 * Math.exp(0.5 * random.nextGaussian())));
        double usual = 660 * Math.exp(0.5 * random.nextGaussian());
        long output = Math.min(1_870, (long) (usual * Math.exp(0.4 * random.nextGaussian())));
        return new TokenCounts(200 + prompt, output, OptionalLong.of((long) usual));
    }

    private static long held(List<Stream> streams, long nowMillis) {
        return streams.stream().mapToLong(stream -> stream.heldTokens(nowMillis)).sum();
    }
}
