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
 * Keeps what became of one request and hands it to metrics, log and record.
 *
 * <p>Its verdict joins those of all attempts, so that "not run" is told only when it holds for
 * each. Confined to the serial executor of its request.
 */
final class RequestOutcomeRecorder {

    private static final int MAXIMUM_REFUSED = 16;

    private final EntryMetrics metrics;
    private final RecordWriter recorder;
    private final TimerService timer;
    private final Clock clock;
    private final MetricLabels label;
    private final String request;
    private final boolean repeatable;
    private final long startMillis;
    private final Map<String, AttemptRecord> attempts = new LinkedHashMap<>();
    private int refused;

    RequestOutcomeRecorder(
            EntryMetrics metrics,
            RecordWriter recorder,
            TimerService timer,
            Clock clock,
            MetricLabels label,
            String request,
            boolean repeatable) {
        this.metrics = metrics;
        this.recorder = recorder;
        this.timer = timer;
        this.clock = clock;
        this.label = label;
        this.request = request;
        this.repeatable = repeatable;
        this.startMillis = timer.nowMillis();
    }

    /** Notes the end of an attempt; refused offers beyond the first few are only counted. */
    void attemptEnded(AttemptRecord attempt) {
        if (attempt.verdict() == Verdict.NOT_RUN && refused++ >= MAXIMUM_REFUSED) {
            return;
        }
        attempts.put(attempt.attempt(), attempt);
    }

    /** Notes what was proved about an attempt after its end. */
    void settled(Attempt attempt, Verdict proved) {
        attempts.computeIfPresent(
                attempt.id().label(),
                (id, before) ->
                        new AttemptRecord(
                                id, before.server(), before.kind(), proved, before.code()));
    }

    /** Returns whether any attempt of the request may have run. */
    Verdict verdict() {
        return attempts.values().stream()
                .map(AttemptRecord::verdict)
                .reduce(Verdict.NOT_RUN, Verdict::or);
    }

    /** Returns the failure as the caller is to be told. */
    RequestFailure told(RequestFailure failure) {
        return failure.withVerdict(verdict().or(failure.verdict()));
    }

    void answered(boolean targetsMet, long firstMillis, long outputTokens) {
        metrics.answered(label, targetsMet, firstMillis);
        record(Verdict.RAN, "", outputTokens);
    }

    void failed(RequestFailure told) {
        EventLog.log(
                EventCode.REQUEST_FAILED,
                Field.of("request", request),
                Field.of("deployment", label.deployment()),
                Field.of("code", told.code().label()),
                Field.of("verdict", told.verdict().label()),
                Field.of("message", told.message()));
        metrics.failed(label, told.code());
        record(told.verdict(), told.code().label(), 0);
    }

    void callerGone() {
        EventLog.log(EventCode.CALLER_GONE, Field.of("request", request));
        metrics.failed(label, ErrorCode.CANCELLED);
        record(verdict(), ErrorCode.CANCELLED.label(), 0);
    }

    void retried(String server, RequestFailure cause) {
        EventLog.log(
                EventCode.REQUEST_RETRIED,
                Field.of("request", request),
                Field.of("server", server),
                Field.of("cause", cause.code().label()));
        metrics.retried(label);
    }

    private void record(Verdict verdict, String code, long outputTokens) {
        recorder.add(
                new RequestRecord(
                        request,
                        clock.millis(),
                        label.deployment(),
                        label.requestClass(),
                        repeatable,
                        verdict,
                        code,
                        timer.nowMillis() - startMillis,
                        outputTokens,
                        List.copyOf(attempts.values())));
    }
}
