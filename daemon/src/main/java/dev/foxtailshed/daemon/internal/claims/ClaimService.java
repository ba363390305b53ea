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
 * Makes sure that of all requests with one idempotency key at most one runs.
 *
 * <p>Example: run a call only after <code>claims.claim(request)</code> gave an empty right side;
 * afterwards call {@link #complete}, or {@link #release} if it was proved not to have run.
 *
 * <p>Thread-safe; the futures never complete exceptionally. A key that can't be claimed in time is
 * refused as not run, and a claim that turns out to be stored after all is released.
 */
public final class ClaimService {

    /** Part of every entry's reckoning: another number would look for old claims elsewhere. */
    private static final int SHARDS = 32;

    private static final int SHARD_DIGITS = 4;
    private static final int HEXADECIMAL = 16;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final List<ShardWriter> shards;
    private final Clock clock;
    private final ClaimSettings terms;

    /**
     * Creates the service.
     *
     * @param store the object API
     * @param timer bounds waits and paces retries
     * @param clock dates claims
     * @param serialExecutors makes executors that run tasks one at a time, in order
     * @param terms times and rates
     * @param events hears what it costs
     */
    public ClaimService(
            ObjectStore store,
            TimerService timer,
            Clock clock,
            Supplier<Executor> serialExecutors,
            ClaimSettings terms,
            ClaimEvents events) {
        this.clock = clock;
        this.terms = terms;
        WriteRateLimiter budget = new WriteRateLimiter(terms.writesPerSecond(), timer.nowMillis());
        this.shards =
                IntStream.range(0, SHARDS)
                        .mapToObj(
                                index ->
                                        new ShardWriter(
                                                String.format("claims/%03d", index),
                                                store,
                                                timer,
                                                clock,
                                                serialExecutors.get(),
                                                budget,
                                                events))
                        .toList();
    }

    /**
     * Works out until when a claim made now is remembered.
     *
     * @param timeoutMillis how long the call may run
     * @return the time
     */
    public long expiryEpochMillis(long timeoutMillis) {
        return clock.millis() + terms.retentionMillis() + timeoutMillis;
    }

    /**
     * Claims a key.
     *
     * @param request the request
     * @return nothing if the request may run now, the answer of the run that went before, or why
     *     the request does not run
     */
    public CompletableFuture<Either<RequestFailure, Optional<RecordedAnswer>>> claim(
            ClaimRequest request) {
        ClaimOperation.Take take = new ClaimOperation.Take(request);
        CompletableFuture<Either<RequestFailure, Optional<RecordedAnswer>>> result =
                new CompletableFuture<>();
        take.decided().thenAccept(decision -> result.complete(toResult(decision)));
        shardOf(request)
                .submit(take, terms.limitMillis(), () -> result.complete(Either.left(noStore())));
        return result;
    }

    /**
     * Records the answer of the run under a claim.
     *
     * @param request the request that holds the claim
     * @param answer its answer
     * @return done once it is stored, however long that takes
     */
    public CompletableFuture<Void> complete(ClaimRequest request, RecordedAnswer answer) {
        ClaimOperation.Complete complete = new ClaimOperation.Complete(request, answer);
        shardOf(request).submit(complete);
        return complete.done();
    }

    /**
     * Gives up a claim whose request was proved not to have run.
     *
     * @param request the request that holds the claim
     * @return done once it is stored, however long that takes
     */
    public CompletableFuture<Void> release(ClaimRequest request) {
        ClaimOperation.Release release = new ClaimOperation.Release(request);
        shardOf(request).submit(release);
        return release.done();
    }

    private ShardWriter shardOf(ClaimRequest request) {
        int number = Integer.parseInt(request.key().substring(0, SHARD_DIGITS), HEXADECIMAL);
        return shards.get(number % SHARDS);
    }

    private static Either<RequestFailure, Optional<RecordedAnswer>> toResult(
            ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Claimed) {
            return Either.right(Optional.empty());
        } else if (decision instanceof ClaimDecision.Answered answered) {
            return toResult(answered.answer());
        } else if (decision instanceof ClaimDecision.InUse) {
            return Either.left(inUse());
        } else if (decision instanceof ClaimDecision.Reused) {
            return Either.left(reused());
        }
        return Either.left(
                RequestFailure.notRun(ErrorCode.OVERLOADED, "no room for another claim")
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

    private static RequestFailure inUse() {
        return RequestFailure.of(
                        Verdict.MAY_HAVE_RUN,
                        ErrorCode.IDEMPOTENCY_KEY_IN_USE,
                        "a call with this key is running or its outcome is unknown")
                .retryAfter(RETRY_AFTER_MILLIS);
    }

    private static RequestFailure reused() {
        return RequestFailure.notRun(
                ErrorCode.IDEMPOTENCY_KEY_REUSED, "the key was used for a call with other content");
    }

    private static RequestFailure noStore() {
        return RequestFailure.notRun(
                        ErrorCode.STORE_UNAVAILABLE, "the key could not be claimed in time")
                .retryAfter(RETRY_AFTER_MILLIS);
    }
}
