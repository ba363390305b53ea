package dev.foxtailshed.daemon.internal.claims;

import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.claims.ClaimDecision;
import dev.foxtailshed.kernel.claims.ClaimRequest;
import dev.foxtailshed.kernel.claims.ClaimResult;
import dev.foxtailshed.kernel.claims.ClaimShard;
import dev.foxtailshed.kernel.claims.RecordedAnswer;
import java.util.concurrent.CompletableFuture;

/**
 * A change that waits to be stored in a shard. Confined to the executor of its shard, but for its
 * future.
 */
abstract class ClaimOperation {

    private final ClaimRequest request;
    private boolean sent;

    private ClaimOperation(ClaimRequest request) {
        this.request = request;
    }

    ClaimRequest request() {
        return request;
    }

    /** Notes that an update which contains the change is about to be sent. */
    void markSent() {
        sent = true;
    }

    /** Tells whether an update which contains the change may take effect. */
    boolean isSent() {
        return sent;
    }

    /** Applies the change to a shard that may contain it already. */
    abstract ClaimShard apply(ClaimShard shard, long nowEpochMillis);

    /** Tells whether the outcome would be another one if the shard had changed meanwhile. */
    boolean needsFreshShard() {
        return false;
    }

    /** The shard that {@link #apply} returned last is stored. */
    abstract void stored();

    /** Takes a key, unless its time limit passes first. */
    static final class Take extends ClaimOperation {
        private final CompletableFuture<ClaimDecision> decided = new CompletableFuture<>();
        private ClaimDecision decision = new ClaimDecision.Full();
        private TimerService.Subscription limit = () -> {};

        Take(ClaimRequest request) {
            super(request);
        }

        CompletableFuture<ClaimDecision> decided() {
            return decided;
        }

        void limitBy(TimerService.Subscription newLimit) {
            limit = newLimit;
        }

        @Override
        ClaimShard apply(ClaimShard shard, long nowEpochMillis) {
            ClaimResult step = shard.claim(request(), nowEpochMillis);
            decision = step.decision();
            return step.shard();
        }

        @Override
        boolean needsFreshShard() {
            // An answer stays what it is; every refusal may rest on a claim that has gone since.
            return !(decision instanceof ClaimDecision.Claimed
                    || decision instanceof ClaimDecision.Answered);
        }

        @Override
        void stored() {
            limit.cancel();
            decided.complete(decision);
        }
    }

    /** Records an answer. */
    static final class Complete extends ClaimOperation {
        private final RecordedAnswer answer;
        private final CompletableFuture<Void> done = new CompletableFuture<>();

        Complete(ClaimRequest request, RecordedAnswer answer) {
            super(request);
            this.answer = answer;
        }

        CompletableFuture<Void> done() {
            return done;
        }

        @Override
        ClaimShard apply(ClaimShard shard, long nowEpochMillis) {
            return shard.complete(request(), answer);
        }

        @Override
        void stored() {
            done.complete(null);
        }
    }

    /** Gives up a key. */
    static final class Release extends ClaimOperation {
        private final CompletableFuture<Void> done = new CompletableFuture<>();

        Release(ClaimRequest request) {
            super(request);
        }

        CompletableFuture<Void> done() {
            return done;
        }

        @Override
        ClaimShard apply(ClaimShard shard, long nowEpochMillis) {
            return shard.release(request());
        }

        @Override
        void stored() {
            done.complete(null);
        }
    }
}
