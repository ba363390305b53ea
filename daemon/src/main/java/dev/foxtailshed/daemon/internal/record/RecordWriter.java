package dev.foxtailshed.daemon.internal.record;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.PutOutcome;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.record.RecordBatch;
import dev.foxtailshed.kernel.record.RecordChainId;
import dev.foxtailshed.kernel.record.RecordCodec;
import dev.foxtailshed.kernel.record.RequestRecord;
import dev.foxtailshed.kernel.record.RunRecord;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Writes one instance's chain of record batches, at most one object per period.
 *
 * <p>Example: <code>writer.start(5_000); writer.add(requestRecord);</code> While the object API is
 * unavailable, records wait in a bounded buffer; those that do not fit are counted as lost in the
 * next batch. A batch whose write got no response is written again unchanged: no other process uses
 * its name, so a conflict on the second write proves that the first succeeded. Thread-safe.
 */
public final class RecordWriter {

    private static final int MAXIMUM_BUFFERED_RECORDS = 20_000;
    private static final int MAXIMUM_BATCH_SIZE = 2_000;

    private final RecordChainId chain;
    private final ObjectStore store;
    private final TimerService timer;
    private final Clock clock;
    private final List<RequestRecord> requests = new ArrayList<>();
    private final List<RunRecord> runs = new ArrayList<>();
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private Optional<byte[]> pendingBody = Optional.empty();
    private String pendingName = "";
    private String previousDigest = RecordBatch.NO_PREVIOUS_DIGEST;
    private long untilEpochMillis;
    private long sequence;
    private long lostCount;
    private boolean writing;
    private boolean closing;
    private boolean finalBatchPrepared;

    /**
     * Creates a writer.
     *
     * @param chain the chain to write
     * @param store the object API
     * @param timer schedules the writes
     * @param clock provides the times of batches
     */
    public RecordWriter(RecordChainId chain, ObjectStore store, TimerService timer, Clock clock) {
        this.chain = chain;
        this.store = store;
        this.timer = timer;
        this.clock = clock;
    }

    /**
     * Starts writing.
     *
     * @param periodMillis the minimum time between two batches
     */
    public void start(long periodMillis) {
        timer.every(periodMillis, this::flush);
    }

    /**
     * Adds the outcome of a request as sent to its caller.
     *
     * @param request the record of the request
     */
    public synchronized void add(RequestRecord request) {
        if (acceptOrCountLost()) {
            requests.add(request);
        }
    }

    /**
     * Adds a run at the backend server.
     *
     * @param run the record of the run
     */
    public synchronized void add(RunRecord run) {
        if (acceptOrCountLost()) {
            runs.add(run);
        }
    }

    /**
     * Writes the remaining records and a final batch that marks an orderly shutdown.
     *
     * @return completes when the final batch is written; never, if the object API stays unavailable
     */
    public CompletableFuture<Void> close() {
        synchronized (this) {
            closing = true;
        }
        flush();
        return closed;
    }

    /** Returns whether the buffer can take another record; if not, counts the record as lost. */
    private boolean acceptOrCountLost() {
        if (requests.size() + runs.size() < MAXIMUM_BUFFERED_RECORDS) {
            return true;
        }
        lostCount++;
        return false;
    }

    private void flush() {
        byte[] body;
        synchronized (this) {
            if (writing || !prepare()) {
                return;
            }
            writing = true;
            body = pendingBody.orElseThrow();
        }
        store.put(pendingName, body, OptionalLong.empty()).thenAccept(this::onWritten);
    }

    /**
     * Prepares the next batch, unless a prepared one waits to be written again.
     *
     * @return false if there is nothing to write
     */
    private boolean prepare() {
        if (pendingBody.isPresent()) {
            return true;
        }
        boolean empty = requests.isEmpty() && runs.isEmpty() && lostCount == 0;
        if (finalBatchPrepared || (empty && !closing)) {
            return false;
        }
        List<RequestRecord> nextRequests = takeBatch(requests);
        List<RunRecord> nextRuns = takeBatch(runs);
        boolean bufferEmptied = requests.isEmpty() && runs.isEmpty();
        boolean last = closing && bufferEmptied;
        // Records that did not fit wait for the next batch, so this one must not cover their time.
        untilEpochMillis = bufferEmptied ? clock.millis() : untilEpochMillis;
        sequence++;
        RecordBatch batch =
                new RecordBatch(
                        chain,
                        sequence,
                        previousDigest,
                        untilEpochMillis,
                        lostCount,
                        last,
                        nextRequests,
                        nextRuns);
        lostCount = 0;
        finalBatchPrepared = last;
        pendingBody = Optional.of(RecordCodec.encode(batch));
        pendingName = batch.objectName();
        return true;
    }

    private static <T> List<T> takeBatch(List<T> records) {
        List<T> head = records.subList(0, Math.min(MAXIMUM_BATCH_SIZE, records.size()));
        List<T> taken = List.copyOf(head);
        head.clear();
        return taken;
    }

    private void onWritten(Either<StoreFailure, PutOutcome> outcome) {
        boolean hasMore;
        synchronized (this) {
            writing = false;
            if (outcome.isLeft()) {
                return;
            }
            previousDigest = RecordCodec.digest(pendingBody.orElseThrow());
            pendingBody = Optional.empty();
            hasMore = closing && !finalBatchPrepared;
        }
        if (outcome.get() instanceof PutOutcome.Conflict) {
            // The name contains the incarnation of this process: only an earlier attempt can have
            // written it.
            EventLog.log(EventCode.RECORD_WRITE_SETTLED, Field.of("chain", chain));
        }
        if (hasMore) {
            flush();
        } else if (isFinished()) {
            closed.complete(null);
        }
    }

    private synchronized boolean isFinished() {
        return finalBatchPrepared && pendingBody.isEmpty();
    }
}
