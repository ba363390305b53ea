package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.claims.ClaimService;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.claims.ClaimRequest;
import dev.foxtailshed.kernel.claims.RecordedAnswer;
import dev.foxtailshed.kernel.manifest.Digests;
import dev.foxtailshed.wire.Message;
import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Records the answer to a call that holds a claim before its caller gets it.
 *
 * <p>An answer small enough to be recorded is held back until the claim says so; of a larger one
 * only the end is. If the object API does not take the record in time the caller gets the answer
 * all the same, and the record is written when it can be: until then a resend finds the claim.
 * Confined to the serial executor of its call.
 */
final class RecordingAnswerWriter implements CallAnswerWriter {

    private static final int MAXIMUM_RECORDED_BYTES = 4_096;
    private static final long RECORD_LIMIT_MILLIS = 1_000;

    private final CallAnswerWriter caller;
    private final ClaimService claims;
    private final ClaimRequest claim;
    private final TimerService timer;
    private final Executor pool;
    private final Runnable onSettled;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private int status;
    private List<Message.Header> headers = List.of();
    private boolean passing;

    /**
     * Creates the answer.
     *
     * @param onSettled runs once the claim needs nothing more of this entry
     */
    RecordingAnswerWriter(
            CallAnswerWriter caller,
            ClaimService claims,
            ClaimRequest claim,
            TimerService timer,
            Executor pool,
            Runnable onSettled) {
        this.caller = caller;
        this.claims = claims;
        this.claim = claim;
        this.timer = timer;
        this.pool = pool;
        this.onSettled = onSettled;
    }

    @Override
    public void head(int newStatus, List<Message.Header> newHeaders) {
        // After a lost connection the stored answer comes whole, from its head on.
        held.reset();
        status = newStatus;
        headers = List.copyOf(newHeaders);
    }

    @Override
    public void part(byte[] content) {
        if (!passing && held.size() + content.length <= MAXIMUM_RECORDED_BYTES) {
            held.writeBytes(content);
            return;
        }
        pass();
        caller.part(content);
    }

    @Override
    public void end() {
        CompletableFuture<Void> stored = claims.complete(claim, record());
        inTime(
                stored,
                () -> {
                    pass();
                    caller.end();
                });
        stored.thenRun(onSettled);
    }

    @Override
    public void tell(RequestFailure failure) {
        caller.tell(failure);
    }

    @Override
    public void fail(RequestFailure failure) {
        if (failure.verdict() != Verdict.NOT_RUN) {
            caller.fail(failure);
            onSettled.run();
            return;
        }
        CompletableFuture<Void> released = claims.release(claim);
        inTime(released, () -> caller.fail(failure));
        released.thenRun(onSettled);
    }

    @Override
    public boolean isStarted() {
        return passing;
    }

    private void pass() {
        if (passing) {
            return;
        }
        passing = true;
        caller.head(status, headers);
        if (held.size() > 0) {
            caller.part(held.toByteArray());
        }
    }

    private RecordedAnswer record() {
        if (passing) {
            return new RecordedAnswer(status, "", Optional.empty());
        }
        byte[] body = held.toByteArray();
        List<RecordedAnswer.Header> kept =
                headers.stream()
                        .map(header -> new RecordedAnswer.Header(header.name(), header.value()))
                        .toList();
        int headerBytes = kept.stream().mapToInt(h -> h.name().length() + h.value().length()).sum();
        Optional<RecordedAnswer.Content> content =
                headerBytes + body.length > MAXIMUM_RECORDED_BYTES
                        ? Optional.empty()
                        : Optional.of(
                                new RecordedAnswer.Content(
                                        kept, Base64.getEncoder().encodeToString(body)));
        return new RecordedAnswer(status, Digests.sha256(body), content);
    }

    /** Runs a task when the claim is stored or the time for it has passed. */
    private void inTime(CompletableFuture<Void> stored, Runnable task) {
        AtomicBoolean due = new AtomicBoolean(true);
        Runnable once =
                () -> {
                    if (due.compareAndSet(true, false)) {
                        task.run();
                    }
                };
        TimerService.Subscription limit = timer.once(RECORD_LIMIT_MILLIS, () -> pool.execute(once));
        stored.thenRun(
                () -> {
                    limit.cancel();
                    once.run();
                });
    }
}
