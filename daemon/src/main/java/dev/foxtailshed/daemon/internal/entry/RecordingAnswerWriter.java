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
 * Records the answer of a call under its claim before sending it to the caller.
 *
 * <p>An answer small enough to be recorded is held back until the record is stored; of a larger
 * answer only the end is held back. If the object API does not store the record in time, the caller
 * gets the answer anyway and the record is written later; until then a resend finds a claim without
 * an answer. Confined to the serial executor of its call.
 */
final class RecordingAnswerWriter implements CallAnswerWriter {

    private static final int MAXIMUM_RECORDED_BYTES = 4_096;
    private static final long RECORD_TIMEOUT_MILLIS = 1_000;

    private final CallAnswerWriter delegate;
    private final ClaimService claims;
    private final ClaimRequest claim;
    private final TimerService timer;
    private final Executor executor;
    private final Runnable onSettled;
    private final ByteArrayOutputStream heldBody = new ByteArrayOutputStream();
    private int status;
    private List<Message.Header> headers = List.of();
    private boolean passThrough;

    /**
     * Creates the writer.
     *
     * @param onSettled runs once this entry has nothing more to write to the claim
     */
    RecordingAnswerWriter(
            CallAnswerWriter delegate,
            ClaimService claims,
            ClaimRequest claim,
            TimerService timer,
            Executor executor,
            Runnable onSettled) {
        this.delegate = delegate;
        this.claims = claims;
        this.claim = claim;
        this.timer = timer;
        this.executor = executor;
        this.onSettled = onSettled;
    }

    @Override
    public void writeHead(int newStatus, List<Message.Header> newHeaders) {
        // After a lost connection, the stored answer is delivered again from its head.
        heldBody.reset();
        status = newStatus;
        headers = List.copyOf(newHeaders);
    }

    @Override
    public void writePart(byte[] content) {
        if (!passThrough && heldBody.size() + content.length <= MAXIMUM_RECORDED_BYTES) {
            heldBody.writeBytes(content);
            return;
        }
        startPassThrough();
        delegate.writePart(content);
    }

    @Override
    public void end() {
        CompletableFuture<Void> stored = claims.complete(claim, toRecordedAnswer());
        runWhenStored(
                stored,
                () -> {
                    startPassThrough();
                    delegate.end();
                });
        stored.thenRun(onSettled);
    }

    @Override
    public void reportFailure(RequestFailure failure) {
        delegate.reportFailure(failure);
    }

    @Override
    public void fail(RequestFailure failure) {
        if (failure.verdict() != Verdict.NOT_RUN) {
            delegate.fail(failure);
            onSettled.run();
            return;
        }
        CompletableFuture<Void> released = claims.release(claim);
        runWhenStored(released, () -> delegate.fail(failure));
        released.thenRun(onSettled);
    }

    @Override
    public boolean isStarted() {
        return passThrough;
    }

    private void startPassThrough() {
        if (passThrough) {
            return;
        }
        passThrough = true;
        delegate.writeHead(status, headers);
        if (heldBody.size() > 0) {
            delegate.writePart(heldBody.toByteArray());
        }
    }

    private RecordedAnswer toRecordedAnswer() {
        if (passThrough) {
            return new RecordedAnswer(status, "", Optional.empty());
        }
        byte[] body = heldBody.toByteArray();
        List<RecordedAnswer.Header> recordedHeaders =
                headers.stream()
                        .map(header -> new RecordedAnswer.Header(header.name(), header.value()))
                        .toList();
        int headerBytes =
                recordedHeaders.stream()
                        .mapToInt(h -> h.name().length() + h.value().length())
                        .sum();
        Optional<RecordedAnswer.Content> content =
                headerBytes + body.length > MAXIMUM_RECORDED_BYTES
                        ? Optional.empty()
                        : Optional.of(
                                new RecordedAnswer.Content(
                                        recordedHeaders, Base64.getEncoder().encodeToString(body)));
        return new RecordedAnswer(status, Digests.sha256(body), content);
    }

    /** Runs a task once, when the claim is stored or the timeout for storing it has expired. */
    private void runWhenStored(CompletableFuture<Void> stored, Runnable task) {
        AtomicBoolean pending = new AtomicBoolean(true);
        Runnable once =
                () -> {
                    if (pending.compareAndSet(true, false)) {
                        task.run();
                    }
                };
        TimerService.Subscription timeout =
                timer.once(RECORD_TIMEOUT_MILLIS, () -> executor.execute(once));
        stored.thenRun(
                () -> {
                    timeout.cancel();
                    once.run();
                });
    }
}
