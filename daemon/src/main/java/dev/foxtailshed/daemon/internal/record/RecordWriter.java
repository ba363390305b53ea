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
 * Writes one instance's chain of batches, at most one object in each period.
 *
 * <p>Example: <code>writer.start(5_000); writer.note(requestRecord);</code> While the object API
 * does not answer, notes wait in a bounded buffer; what does not fit is counted as lost in the next
 * batch. A batch whose write was not answered is written again unchanged: its name is its own, so a
 * second write of it is refused and proves the first. Thread-safe.
 */
public final class RecordWriter {

    private static final int MAXIMUM_BUFFERED = 20_000;
    private static final int MAXIMUM_IN_BATCH = 2_000;

    private final RecordChainId chain;
    private final ObjectStore store;
    private final TimerService timer;
    private final Clock clock;
    private final List<RequestRecord> requests = new ArrayList<>();
    private final List<RunRecord> runs = new ArrayList<>();
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private Optional<byte[]> unwritten = Optional.empty();
    private String unwrittenName = "";
    private String previousDigest = RecordBatch.NO_PREVIOUS_DIGEST;
    private long untilEpochMillis;
    private long sequence;
    private long lost;
    private boolean writing;
    private boolean closing;
    private boolean closingWritten;

    /**
     * Creates a writer.
     *
     * @param chain the chain that it writes
     * @param store the object API
     * @param timer paces the writes
     * @param clock dates the batches
     */
    public RecordWriter(RecordChainId chain, ObjectStore store, TimerService timer, Clock clock) {
        this.chain = chain;
        this.store = store;
        this.timer = timer;
        this.clock = clock;
    }

    /**
     * Begins to write.
     *
     * @param periodMillis the least time between two batches
     */
    public void start(long periodMillis) {
        timer.every(periodMillis, this::flush);
    }

    /**
     * Notes what a caller was told.
     *
     * @param request the note
     */
    public synchronized void note(RequestRecord request) {
        if (hasRoom()) {
            requests.add(request);
        }
    }

    /**
     * Notes what was run.
     *
     * @param run the note
     */
    public synchronized void note(RunRecord run) {
        if (hasRoom()) {
            runs.add(run);
        }
    }

    /**
     * Writes what is left and a mark that the instance shut down in order.
     *
     * @return done when the mark is written; never, if the object API stays away
     */
    public CompletableFuture<Void> close() {
        synchronized (this) {
            closing = true;
        }
        flush();
        return closed;
    }

    private boolean hasRoom() {
        if (requests.size() + runs.size() < MAXIMUM_BUFFERED) {
            return true;
        }
        lost++;
        return false;
    }

    private void flush() {
        byte[] body;
        synchronized (this) {
            if (writing || !prepare()) {
                return;
            }
            writing = true;
            body = unwritten.orElseThrow();
        }
        store.put(unwrittenName, body, OptionalLong.empty()).thenAccept(this::written);
    }

    /** Makes the next batch, unless one waits to be written again; false if there is nothing. */
    private boolean prepare() {
        if (unwritten.isPresent()) {
            return true;
        }
        boolean empty = requests.isEmpty() && runs.isEmpty() && lost == 0;
        if (closingWritten || (empty && !closing)) {
            return false;
        }
        List<RequestRecord> nextRequests = take(requests);
        List<RunRecord> nextRuns = take(runs);
        boolean emptied = requests.isEmpty() && runs.isEmpty();
        boolean last = closing && emptied;
        // Notes that did not fit wait for the next batch, so this one reaches no further.
        untilEpochMillis = emptied ? clock.millis() : untilEpochMillis;
        sequence++;
        RecordBatch batch =
                new RecordBatch(
                        chain,
                        sequence,
                        previousDigest,
                        untilEpochMillis,
                        lost,
                        last,
                        nextRequests,
                        nextRuns);
        lost = 0;
        closingWritten = last;
        unwritten = Optional.of(RecordCodec.encode(batch));
        unwrittenName = batch.objectName();
        return true;
    }

    private static <T> List<T> take(List<T> notes) {
        List<T> head = notes.subList(0, Math.min(MAXIMUM_IN_BATCH, notes.size()));
        List<T> taken = List.copyOf(head);
        head.clear();
        return taken;
    }

    private void written(Either<StoreFailure, PutOutcome> outcome) {
        boolean more;
        synchronized (this) {
            writing = false;
            if (outcome.isLeft()) {
                return;
            }
            previousDigest = RecordCodec.digest(unwritten.orElseThrow());
            unwritten = Optional.empty();
            more = closing && !closingWritten;
        }
        if (outcome.get() instanceof PutOutcome.Conflict) {
            // The name carries this start's incarnation: only an earlier try can have written it.
            EventLog.log(EventCode.RECORD_WRITE_SETTLED, Field.of("chain", chain));
        }
        if (more) {
            flush();
        } else if (isFinished()) {
            closed.complete(null);
        }
    }

    private synchronized boolean isFinished() {
        return closingWritten && unwritten.isEmpty();
    }
}
