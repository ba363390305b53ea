package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.Verdict;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the records of ended attempts, bounded in age and number.
 *
 * <p>Evicted records are summarized by two high-water marks for each entry incarnation: the highest
 * evicted sequence number, and the highest one of an attempt that may have run. The marks are never
 * evicted, because they are what makes eviction safe; each start of an entry adds one pair.
 */
final class EndedAttempts<A> {

    private final LedgerSettings settings;
    private final Map<AttemptId, EndedAttempt<A>> ended = new LinkedHashMap<>();
    private final Set<AttemptId> idsWithAnswer = new LinkedHashSet<>();
    private final Map<Long, HighWaterMarks> marksByEntry = new HashMap<>();
    private long answerBytes;

    EndedAttempts(LedgerSettings settings) {
        this.settings = settings;
    }

    Optional<EndedAttempt<A>> find(AttemptId id) {
        return Optional.ofNullable(ended.get(id));
    }

    void add(AttemptId id, Verdict verdict, Optional<A> answer, long sizeBytes, long nowMillis) {
        boolean kept = answer.isPresent() && sizeBytes <= settings.maximumAnswerBytes();
        EndedAttempt<A> record = new EndedAttempt<>(verdict, nowMillis);
        if (kept) {
            record.answer = answer;
            record.answerBytes = sizeBytes;
            answerBytes += sizeBytes;
            idsWithAnswer.add(id);
        }
        ended.put(id, record);
        dropAnswers();
        prune(nowMillis);
    }

    /** Returns whether an attempt without a record may have ended and been evicted. */
    boolean mayHaveEnded(AttemptId id) {
        HighWaterMarks marks = marksByEntry.get(id.entryIncarnation());
        return marks != null && id.sequence() <= marks.highestSequence;
    }

    /** Returns whether an attempt without a record may have run. */
    boolean mayHaveRun(AttemptId id) {
        HighWaterMarks marks = marksByEntry.get(id.entryIncarnation());
        return marks != null && id.sequence() <= marks.highestMayHaveRunSequence;
    }

    void prune(long nowMillis) {
        Iterator<Map.Entry<AttemptId, EndedAttempt<A>>> oldest = ended.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<AttemptId, EndedAttempt<A>> next = oldest.next();
            boolean expired =
                    nowMillis - next.getValue().endedMillis >= settings.endedRetentionMillis();
            if (!expired && ended.size() <= settings.maximumEndedAttempts()) {
                return;
            }
            oldest.remove();
            evict(next.getKey(), next.getValue());
        }
    }

    int size() {
        return ended.size();
    }

    private void evict(AttemptId id, EndedAttempt<A> record) {
        dropAnswer(id, record);
        HighWaterMarks marks =
                marksByEntry.computeIfAbsent(id.entryIncarnation(), key -> new HighWaterMarks());
        marks.highestSequence = Math.max(marks.highestSequence, id.sequence());
        if (record.verdict != Verdict.NOT_RUN) {
            marks.highestMayHaveRunSequence =
                    Math.max(marks.highestMayHaveRunSequence, id.sequence());
        }
    }

    private void dropAnswers() {
        while (answerBytes > settings.maximumAnswerBytes()) {
            AttemptId oldest = idsWithAnswer.iterator().next();
            dropAnswer(oldest, ended.get(oldest));
        }
    }

    private void dropAnswer(AttemptId id, EndedAttempt<A> record) {
        idsWithAnswer.remove(id);
        answerBytes -= record.answerBytes;
        record.answerBytes = 0;
        record.answer = Optional.empty();
    }

    /** The record of one ended attempt. */
    static final class EndedAttempt<A> {
        final Verdict verdict;
        final long endedMillis;
        Optional<A> answer = Optional.empty();
        long answerBytes;

        EndedAttempt(Verdict verdict, long endedMillis) {
            this.verdict = verdict;
            this.endedMillis = endedMillis;
        }
    }

    private static final class HighWaterMarks {
        private long highestSequence = Long.MIN_VALUE;
        private long highestMayHaveRunSequence = Long.MIN_VALUE;
    }
}
