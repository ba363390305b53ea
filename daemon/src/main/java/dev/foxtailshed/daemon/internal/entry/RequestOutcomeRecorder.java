package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.EntryMetrics.MetricLabels;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.record.RecordWriter;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.record.AttemptRecord;
import dev.foxtailshed.kernel.record.RequestRecord;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the outcome of one request and reports it to the metrics, the log and the record.
 *
 * <p>The verdict combines those of all attempts, so that "not run" is reported only if it holds for
 * each of them. Confined to the serial executor of its request.
 */
final class RequestOutcomeRecorder {

    private static final int MAXIMUM_REFUSED_ATTEMPTS = 16;

    private final EntryMetrics metrics;
    private final RecordWriter recordWriter;
    private final TimerService timer;
    private final Clock clock;
    private final MetricLabels labels;
    private final String request;
    private final boolean repeatable;
    private final long startMillis;
    private final Map<String, AttemptRecord> attempts = new LinkedHashMap<>();
    private int refused;

    RequestOutcomeRecorder(
            EntryMetrics metrics,
            RecordWriter recordWriter,
            TimerService timer,
            Clock clock,
            MetricLabels labels,
            String request,
            boolean repeatable) {
        this.metrics = metrics;
        this.recordWriter = recordWriter;
        this.timer = timer;
        this.clock = clock;
        this.labels = labels;
        this.request = request;
        this.repeatable = repeatable;
        this.startMillis = timer.nowMillis();
    }

    /**
     * Adds an attempt that has ended; of the attempts that did not run, only the first few are
     * kept.
     */
    void addAttempt(AttemptRecord attempt) {
        if (attempt.verdict() == Verdict.NOT_RUN && refused++ >= MAXIMUM_REFUSED_ATTEMPTS) {
            return;
        }
        attempts.put(attempt.attempt(), attempt);
    }

    /** Replaces the verdict of an attempt with the one that was established after its end. */
    void updateVerdict(Attempt attempt, Verdict newVerdict) {
        attempts.computeIfPresent(
                attempt.id().label(),
                (id, previous) ->
                        new AttemptRecord(
                                id,
                                previous.server(),
                                previous.kind(),
                                newVerdict,
                                previous.code()));
    }

    /** Returns the combined verdict of all attempts. */
    Verdict verdict() {
        return attempts.values().stream()
                .map(AttemptRecord::verdict)
                .reduce(Verdict.NOT_RUN, Verdict::or);
    }

    /** Returns the failure to report to the caller, with the combined verdict. */
    RequestFailure withCombinedVerdict(RequestFailure failure) {
        return failure.withVerdict(verdict().or(failure.verdict()));
    }

    void recordAnswered(boolean targetsMet, long firstMillis, long outputTokens) {
        metrics.countAnswered(labels, targetsMet, firstMillis);
        writeRecord(Verdict.RAN, "", outputTokens);
    }

    void recordFailed(RequestFailure reported) {
        EventLog.log(
                EventCode.REQUEST_FAILED,
                Field.of("request", request),
                Field.of("deployment", labels.deployment()),
                Field.of("code", reported.code().label()),
                Field.of("verdict", reported.verdict().label()),
                Field.of("message", reported.message()));
        metrics.countFailed(labels, reported.code());
        writeRecord(reported.verdict(), reported.code().label(), 0);
    }

    void recordCallerDisconnected() {
        EventLog.log(EventCode.CALLER_GONE, Field.of("request", request));
        metrics.countFailed(labels, ErrorCode.CANCELLED);
        writeRecord(verdict(), ErrorCode.CANCELLED.label(), 0);
    }

    void recordRetry(String server, RequestFailure cause) {
        EventLog.log(
                EventCode.REQUEST_RETRIED,
                Field.of("request", request),
                Field.of("server", server),
                Field.of("cause", cause.code().label()));
        metrics.countRetry(labels);
    }

    private void writeRecord(Verdict verdict, String code, long outputTokens) {
        recordWriter.add(
                new RequestRecord(
                        request,
                        clock.millis(),
                        labels.deployment(),
                        labels.requestClass(),
                        repeatable,
                        verdict,
                        code,
                        timer.nowMillis() - startMillis,
                        outputTokens,
                        List.copyOf(attempts.values())));
    }
}
