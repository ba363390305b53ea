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
 * Remembers ended attempts for a bounded time and number.
 *
 * <p>What is forgotten leaves two marks for each entry incarnation: the highest sequence number
 * forgotten, and the highest one forgotten that may have run. The marks are kept as long as the
 * ledger lives, since they are what makes forgetting safe; there is one pair for each start of an
 * entry.
 */
final class EndedAttempts<A> {

    private final LedgerSettings terms;
    private final Map<AttemptId, Ended<A>> ended = new LinkedHashMap<>();
    private final Set<AttemptId> answered = new LinkedHashSet<>();
    private final Map<Long, Marks> marksByEntry = new HashMap<>();
    private long answerBytes;

    EndedAttempts(LedgerSettings terms) {
        this.terms = terms;
    }

    Optional<Ended<A>> find(AttemptId id) {
        return Optional.ofNullable(ended.get(id));
    }

    void add(AttemptId id, Verdict verdict, Optional<A> answer, long sizeBytes, long nowMillis) {
        boolean kept = answer.isPresent() && sizeBytes <= terms.maximumAnswerBytes();
        Ended<A> record = new Ended<>(verdict, nowMillis);
        if (kept) {
            record.answer = answer;
            record.answerBytes = sizeBytes;
            answerBytes += sizeBytes;
            answered.add(id);
        }
        ended.put(id, record);
        dropAnswers();
        prune(nowMillis);
    }

    /** Tells whether an attempt that is not remembered may have been seen before. */
    boolean mayHaveEnded(AttemptId id) {
        Marks marks = marksByEntry.get(id.entryIncarnation());
        return marks != null && id.sequence() <= marks.seen;
    }

    /** Tells whether an attempt that is not remembered may have run. */
    boolean mayHaveRun(AttemptId id) {
        Marks marks = marksByEntry.get(id.entryIncarnation());
        return marks != null && id.sequence() <= marks.ran;
    }

    void prune(long nowMillis) {
        Iterator<Map.Entry<AttemptId, Ended<A>>> oldest = ended.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<AttemptId, Ended<A>> next = oldest.next();
            boolean old = nowMillis - next.getValue().endedMillis >= terms.endedRetentionMillis();
            if (!old && ended.size() <= terms.maximumEndedAttempts()) {
                return;
            }
            oldest.remove();
            forget(next.getKey(), next.getValue());
        }
    }

    int size() {
        return ended.size();
    }

    private void forget(AttemptId id, Ended<A> record) {
        dropAnswer(id, record);
        Marks marks = marksByEntry.computeIfAbsent(id.entryIncarnation(), key -> new Marks());
        marks.seen = Math.max(marks.seen, id.sequence());
        if (record.verdict != Verdict.NOT_RUN) {
            marks.ran = Math.max(marks.ran, id.sequence());
        }
    }

    private void dropAnswers() {
        while (answerBytes > terms.maximumAnswerBytes()) {
            AttemptId oldest = answered.iterator().next();
            dropAnswer(oldest, ended.get(oldest));
        }
    }

    private void dropAnswer(AttemptId id, Ended<A> record) {
        answered.remove(id);
        answerBytes -= record.answerBytes;
        record.answerBytes = 0;
        record.answer = Optional.empty();
    }

    /** One ended attempt. */
    static final class Ended<A> {
        final Verdict verdict;
        final long endedMillis;
        Optional<A> answer = Optional.empty();
        long answerBytes;

        Ended(Verdict verdict, long endedMillis) {
            this.verdict = verdict;
            this.endedMillis = endedMillis;
        }
    }

    private static final class Marks {
        private long seen = Long.MIN_VALUE;
        private long ran = Long.MIN_VALUE;
    }
}
