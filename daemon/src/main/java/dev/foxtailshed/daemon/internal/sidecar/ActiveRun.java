package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.AnswerHead;
import dev.foxtailshed.wire.Message.AnswerPart;
import dev.foxtailshed.wire.Message.DecodeWork;
import dev.foxtailshed.wire.Message.Header;
import dev.foxtailshed.wire.Message.KvExport;
import dev.foxtailshed.wire.Message.StoredAnswer;
import dev.foxtailshed.wire.Message.Work;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

/**
 * An attempt that runs at the backend server and streams its answer to the connection of the entry
 * that committed it.
 *
 * <p>Answer parts are sent directly on the connection, with back pressure; the end goes through the
 * ledger. If the connection closes during a call, the rest of the answer is still read, since an
 * entry may query the outcome.
 */
final class ActiveRun implements BackendListener {

    private static final long QUEUE_POLL_MILLIS = 5;

    private final AttemptId id;
    private final EntryConnection entry;
    private final EndListener endListener;
    private final TimerService timer;
    private final long maximumQueuedBytes;
    private final int maximumAnswerBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile long linkBacklogBytes;
    private int status;
    private List<Header> headers = List.of();
    private final String kind;
    private boolean bodyTooLarge;
    private boolean ended;
    private long partCount;

    private static String kindOf(Work work) {
        if (work instanceof DecodeWork) {
            return "decode";
        }
        return work instanceof Message.PrefillWork ? "prefill" : "call";
    }

    /**
     * Creates a run.
     *
     * @param maximumAnswerBytes the largest answer to keep for outcome queries, zero to keep none
     */
    ActiveRun(
            AttemptId id,
            EntryConnection entry,
            Work work,
            EndListener endListener,
            TimerService timer,
            long maximumQueuedBytes,
            int maximumAnswerBytes) {
        this.id = id;
        this.entry = entry;
        this.endListener = endListener;
        this.timer = timer;
        this.maximumQueuedBytes = maximumQueuedBytes;
        this.maximumAnswerBytes = maximumAnswerBytes;
        this.kind = kindOf(work);
        this.linkBacklogBytes = work instanceof DecodeWork decode ? decode.export().sizeBytes() : 0;
    }

    /** Receives the end of a run, on any thread. */
    interface EndListener {
        /** Called when the prefill has finished. */
        void onRunPrefilled(ActiveRun run, Message.Prefilled message);

        /** Called when the answer is complete. */
        void onRunAnswered(ActiveRun run, Message.AnswerEnd message);

        /** Called when the run has failed. */
        void onRunFailed(ActiveRun run, RequestFailure failure);
    }

    String kind() {
        return kind;
    }

    /**
     * Marks the run as ended. Call on the ledger's executor only.
     *
     * @return true on the first call, false on each later one
     */
    boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    AttemptId id() {
        return id;
    }

    EntryConnection entry() {
        return entry;
    }

    /**
     * Returns the number of bytes of KV cache that this run still has to import, as far as known
     * here.
     */
    long linkBacklogBytes() {
        return linkBacklogBytes;
    }

    /**
     * Returns the complete answer, or nothing if it is not kept or too large. Call only after the
     * end of the run.
     */
    Optional<StoredAnswer> storedAnswer() {
        return maximumAnswerBytes == 0 || bodyTooLarge
                ? Optional.empty()
                : Optional.of(new StoredAnswer(status, headers, body.toByteArray()));
    }

    @Override
    public void onHead(int answerStatus, List<Header> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
        entry.send(new AnswerHead(id, answerStatus, answerHeaders));
    }

    @Override
    public void onPart(byte[] content, int tokens, Runnable next) {
        linkBacklogBytes = 0;
        appendToBody(content);
        entry.send(new AnswerPart(id, partCount++, tokens, content));
        continueWhenQueueBelowLimit(next);
    }

    @Override
    public void onPrefilled(KvExport export, long promptTokens, long cachedTokens) {
        endListener.onRunPrefilled(
                this, new Message.Prefilled(id, export, promptTokens, cachedTokens));
    }

    @Override
    public void onEnd(String finishReason, long promptTokens, long cachedTokens) {
        endListener.onRunAnswered(
                this,
                new Message.AnswerEnd(id, partCount, finishReason, cachedTokens, promptTokens));
    }

    @Override
    public void onFailure(RequestFailure failure) {
        endListener.onRunFailed(this, failure);
    }

    private void appendToBody(byte[] content) {
        if (body.size() + content.length > maximumAnswerBytes) {
            bodyTooLarge = true;
            body.reset();
        } else if (!bodyTooLarge) {
            body.writeBytes(content);
        }
    }

    private void continueWhenQueueBelowLimit(Runnable next) {
        boolean queueOverLimit =
                entry.connection().isOpen()
                        && entry.connection().queuedBytes() > maximumQueuedBytes;
        if (queueOverLimit) {
            timer.once(QUEUE_POLL_MILLIS, () -> continueWhenQueueBelowLimit(next));
        } else {
            next.run();
        }
    }
}
