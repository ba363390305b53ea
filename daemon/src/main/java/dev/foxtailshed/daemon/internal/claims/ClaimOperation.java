package dev.foxtailshed.daemon.internal.claims;

import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.claims.ClaimDecision;
import dev.foxtailshed.kernel.claims.ClaimRequest;
import dev.foxtailshed.kernel.claims.ClaimResult;
import dev.foxtailshed.kernel.claims.ClaimShard;
import dev.foxtailshed.kernel.claims.RecordedAnswer;
import java.util.concurrent.CompletableFuture;

/**
 * A change that waits to be stored in a shard. Confined to the executor of its shard, except for
 * its future.
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

    /** Records that an update with this change is about to be sent. */
    void markSent() {
        sent = true;
    }

    /** Returns whether an update with this change was sent and may take effect. */
    boolean isSent() {
        return sent;
    }

    /** Applies the change to a shard, which may already contain it. */
    abstract ClaimShard apply(ClaimShard shard, long nowEpochMillis);

    /** Returns whether the outcome could differ if the shard has changed since it was read. */
    boolean needsFreshShard() {
        return false;
    }

    /** Called when the shard last returned by {@link #apply} is stored. */
    abstract void onStored();

    /** Claims a key, unless its time limit passes first. */
    static final class Acquire extends ClaimOperation {
        private final CompletableFuture<ClaimDecision> decisionFuture = new CompletableFuture<>();
        private ClaimDecision decision = new ClaimDecision.Full();
        private TimerService.Subscription timeout = () -> {};

        Acquire(ClaimRequest request) {
            super(request);
        }

        CompletableFuture<ClaimDecision> decisionFuture() {
            return decisionFuture;
        }

        void setTimeout(TimerService.Subscription newTimeout) {
            timeout = newTimeout;
        }

        @Override
        ClaimShard apply(ClaimShard shard, long nowEpochMillis) {
            ClaimResult result = shard.claim(request(), nowEpochMillis);
            decision = result.decision();
            return result.shard();
        }

        @Override
        boolean needsFreshShard() {
            // A recorded answer is final; a refusal may be due to a claim that has since been
            // removed.
            return !(decision instanceof ClaimDecision.Claimed
                    || decision instanceof ClaimDecision.Answered);
        }

        @Override
        void onStored() {
            timeout.cancel();
            decisionFuture.complete(decision);
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
        void onStored() {
            done.complete(null);
        }
    }

    /** Releases a key. */
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
        void onStored() {
            done.complete(null);
        }
    }
}
