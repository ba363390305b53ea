package dev.foxtailshed.daemon.internal.claims;

import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.claims.ClaimDecision;
import dev.foxtailshed.kernel.claims.ClaimRequest;
import dev.foxtailshed.kernel.claims.RecordedAnswer;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * Ensures that at most one of all requests with the same idempotency key runs.
 *
 * <p>Example: run a call only after <code>claims.claim(request)</code> returned an empty optional;
 * afterwards call {@link #complete}, or {@link #release} if the call is proved not to have run.
 *
 * <p>Thread-safe; the futures never complete exceptionally. A request whose key cannot be claimed
 * in time is refused as not run; if its claim is stored after all, the claim is released.
 */
public final class ClaimService {

    /**
     * The number of shards. All entries must use the same number: with another one, existing claims
     * would be looked up in the wrong shard.
     */
    private static final int SHARD_COUNT = 32;

    private static final int KEY_PREFIX_DIGITS = 4;
    private static final int HEXADECIMAL_RADIX = 16;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final List<ShardWriter> shards;
    private final Clock clock;
    private final ClaimSettings settings;

    /**
     * Creates the service.
     *
     * @param store the object API
     * @param timer schedules time limits and retries
     * @param clock provides the expiry times of claims
     * @param serialExecutors creates executors that run tasks one at a time, in order
     * @param settings times and rates
     * @param events receives events about updates and failures
     */
    public ClaimService(
            ObjectStore store,
            TimerService timer,
            Clock clock,
            Supplier<Executor> serialExecutors,
            ClaimSettings settings,
            ClaimEvents events) {
        this.clock = clock;
        this.settings = settings;
        WriteRateLimiter rateLimiter =
                new WriteRateLimiter(settings.writesPerSecond(), timer.nowMillis());
        this.shards =
                IntStream.range(0, SHARD_COUNT)
                        .mapToObj(
                                index ->
                                        new ShardWriter(
                                                String.format("claims/%03d", index),
                                                store,
                                                timer,
                                                clock,
                                                serialExecutors.get(),
                                                rateLimiter,
                                                events))
                        .toList();
    }

    /**
     * Returns the time until which a claim made now is kept.
     *
     * @param timeoutMillis the timeout of the call
     * @return the time in milliseconds since the epoch
     */
    public long expiryEpochMillis(long timeoutMillis) {
        return clock.millis() + settings.retentionMillis() + timeoutMillis;
    }

    /**
     * Claims a key.
     *
     * @param request the request
     * @return an empty optional if the request may run now, the answer of an earlier run, or the
     *     reason why the request must not run
     */
    public CompletableFuture<Either<RequestFailure, Optional<RecordedAnswer>>> claim(
            ClaimRequest request) {
        ClaimOperation.Acquire acquire = new ClaimOperation.Acquire(request);
        CompletableFuture<Either<RequestFailure, Optional<RecordedAnswer>>> result =
                new CompletableFuture<>();
        acquire.decisionFuture().thenAccept(decision -> result.complete(toResult(decision)));
        shardOf(request)
                .submit(
                        acquire,
                        settings.claimTimeoutMillis(),
                        () -> result.complete(Either.left(notClaimedInTime())));
        return result;
    }

    /**
     * Records the answer of a run under its claim.
     *
     * @param request the request that holds the claim
     * @param answer the answer of the run
     * @return completes once the answer is stored; retries without limit
     */
    public CompletableFuture<Void> complete(ClaimRequest request, RecordedAnswer answer) {
        ClaimOperation.Complete complete = new ClaimOperation.Complete(request, answer);
        shardOf(request).submit(complete);
        return complete.done();
    }

    /**
     * Releases a claim whose request is proved not to have run.
     *
     * @param request the request that holds the claim
     * @return completes once the release is stored; retries without limit
     */
    public CompletableFuture<Void> release(ClaimRequest request) {
        ClaimOperation.Release release = new ClaimOperation.Release(request);
        shardOf(request).submit(release);
        return release.done();
    }

    private ShardWriter shardOf(ClaimRequest request) {
        int number =
                Integer.parseInt(request.key().substring(0, KEY_PREFIX_DIGITS), HEXADECIMAL_RADIX);
        return shards.get(number % SHARD_COUNT);
    }

    private static Either<RequestFailure, Optional<RecordedAnswer>> toResult(
            ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Claimed) {
            return Either.right(Optional.empty());
        } else if (decision instanceof ClaimDecision.Answered answered) {
            return toResult(answered.answer());
        } else if (decision instanceof ClaimDecision.InUse) {
            return Either.left(keyInUse());
        } else if (decision instanceof ClaimDecision.Reused) {
            return Either.left(keyReused());
        }
        return Either.left(
                RequestFailure.notRun(ErrorCode.OVERLOADED, "the claim shard of this key is full")
                        .retryAfter(RETRY_AFTER_MILLIS));
    }

    private static Either<RequestFailure, Optional<RecordedAnswer>> toResult(
            RecordedAnswer answer) {
        if (answer.content().isPresent()) {
            return Either.right(Optional.of(answer));
        }
        return Either.left(
                RequestFailure.of(
                        Verdict.RAN,
                        ErrorCode.IDEMPOTENCY_KEY_IN_USE,
                        "the call ran and was answered with status "
                                + answer.status()
                                + "; its answer is no longer kept"));
    }

    private static RequestFailure keyInUse() {
        return RequestFailure.of(
                        Verdict.MAY_HAVE_RUN,
                        ErrorCode.IDEMPOTENCY_KEY_IN_USE,
                        "a call with this key is running or its outcome is unknown")
                .retryAfter(RETRY_AFTER_MILLIS);
    }

    private static RequestFailure keyReused() {
        return RequestFailure.notRun(
                ErrorCode.IDEMPOTENCY_KEY_REUSED,
                "the key was used for a call with different content");
    }

    private static RequestFailure notClaimedInTime() {
        return RequestFailure.notRun(
                        ErrorCode.STORE_UNAVAILABLE, "the key could not be claimed in time")
                .retryAfter(RETRY_AFTER_MILLIS);
    }
}
