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
 * One attempt at the backend server, whose answer goes to the connection that committed it.
 *
 * <p>Parts go straight to the connection, at the pace at which it takes them; the end goes through
 * the ledger. A call whose connection is gone is read on, since its outcome can be asked.
 */
final class ActiveRun implements BackendListener {

    private static final long PACE_MILLIS = 5;

    private final AttemptId id;
    private final EntryConnection link;
    private final End end;
    private final TimerService timer;
    private final long maximumQueuedBytes;
    private final int maximumAnswerBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile long linkBacklogBytes;
    private int status;
    private List<Header> headers = List.of();
    private final String kind;
    private boolean overflown;
    private boolean ended;
    private long parts;

    private static String kindOf(Work work) {
        if (work instanceof DecodeWork) {
            return "decode";
        }
        return work instanceof Message.PrefillWork ? "prefill" : "call";
    }

    /**
     * Creates a run.
     *
     * @param maximumAnswerBytes how much of the answer to keep, zero for nothing
     */
    ActiveRun(
            AttemptId id,
            EntryConnection link,
            Work work,
            End end,
            TimerService timer,
            long maximumQueuedBytes,
            int maximumAnswerBytes) {
        this.id = id;
        this.link = link;
        this.end = end;
        this.timer = timer;
        this.maximumQueuedBytes = maximumQueuedBytes;
        this.maximumAnswerBytes = maximumAnswerBytes;
        this.kind = kindOf(work);
        this.linkBacklogBytes = work instanceof DecodeWork decode ? decode.export().sizeBytes() : 0;
    }

    /** Hears how a run ended, on any thread. */
    interface End {
        /** The prompt was read. */
        void prefilled(ActiveRun run, Message.Prefilled message);

        /** The answer is whole. */
        void answered(ActiveRun run, Message.AnswerEnd message);

        /** The run failed. */
        void failed(ActiveRun run, RequestFailure failure);
    }

    String kind() {
        return kind;
    }

    /** Returns true the first time that it is called, on the ledger's executor. */
    boolean endFirst() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    AttemptId id() {
        return id;
    }

    EntryConnection link() {
        return link;
    }

    /** The bytes that this run still has to import, for all that is known here. */
    long linkBacklogBytes() {
        return linkBacklogBytes;
    }

    /** Call only after the end. */
    Optional<StoredAnswer> storedAnswer() {
        return maximumAnswerBytes == 0 || overflown
                ? Optional.empty()
                : Optional.of(new StoredAnswer(status, headers, body.toByteArray()));
    }

    @Override
    public void onHead(int answerStatus, List<Header> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
        link.send(new AnswerHead(id, answerStatus, answerHeaders));
    }

    @Override
    public void onPart(byte[] content, int tokens, Runnable next) {
        linkBacklogBytes = 0;
        keep(content);
        link.send(new AnswerPart(id, parts++, tokens, content));
        goOnWithRoom(next);
    }

    @Override
    public void onPrefilled(KvExport export, long promptTokens, long cachedTokens) {
        end.prefilled(this, new Message.Prefilled(id, export, promptTokens, cachedTokens));
    }

    @Override
    public void onEnd(String finishReason, long promptTokens, long cachedTokens) {
        end.answered(
                this, new Message.AnswerEnd(id, parts, finishReason, cachedTokens, promptTokens));
    }

    @Override
    public void onFailure(RequestFailure failure) {
        end.failed(this, failure);
    }

    private void keep(byte[] content) {
        if (body.size() + content.length > maximumAnswerBytes) {
            overflown = true;
            body.reset();
        } else if (!overflown) {
            body.writeBytes(content);
        }
    }

    private void goOnWithRoom(Runnable next) {
        boolean full =
                link.connection().isOpen() && link.connection().queuedBytes() > maximumQueuedBytes;
        if (full) {
            timer.once(PACE_MILLIS, () -> goOnWithRoom(next));
        } else {
            next.run();
        }
    }
}
