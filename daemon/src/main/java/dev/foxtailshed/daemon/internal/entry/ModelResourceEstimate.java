package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.admission.QueuedRequest;
import dev.foxtailshed.kernel.manifest.Pool;
import dev.foxtailshed.kernel.manifest.RequestClass;
import dev.foxtailshed.wire.WorkKind;

/**
 * What a request to a model needs of its pools and how long its prompt takes, as predicted.
 *
 * <p>Immutable.
 *
 * @param task the request
 * @param times what was learned of times to first tokens
 * @param arrival the number of its arrival
 * @param startMillis when it arrived
 */
record ModelResourceEstimate(
        ResolvedModelRequest task, ServiceTimes times, long arrival, long startMillis) {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long HANDOVER_MILLIS = 50;

    /** Some waiting is always allowed, so that a bad prediction is seen to be wrong. */
    private static final long LEAST_SLACK_PART = 5;

    /** Returns the KV pieces that the request holds at a server. */
    int pieces(WorkKind kind, int generatedTokens) {
        return kind == WorkKind.DECODE
                ? piecesOf(task.promptTokens() + task.maxTokens(), task.decodePool())
                : piecesOf(task.promptTokens() + generatedTokens, task.prefillPool());
    }

    /** Returns how long reading the prompt takes at an idle server. */
    long prefillMillis() {
        return task.promptTokens()
                * MILLIS_PER_SECOND
                / Math.max(1, task.prefillPool().prefillTokensPerSecond());
    }

    /** Returns the size of the KV cache that is handed over. */
    long transferBytes() {
        return task.promptTokens() * task.decodePool().kvBytesPerToken();
    }

    /** Returns the least time from a start to the first token. */
    long firstTokenMillis() {
        long transferMillis =
                transferBytes()
                        * MILLIS_PER_SECOND
                        / Math.max(1, task.decodePool().linkBytesPerSecond());
        return prefillMillis() + transferMillis + HANDOVER_MILLIS;
    }

    /** Returns the latest time at which the request can start and still meet its target. */
    long startByMillis() {
        long neededMillis = times.of(lane()).predictMillis(firstTokenMillis());
        long targetMillis = task.requestClass().timeToFirstTokenMillis();
        long leastSlackMillis = targetMillis / LEAST_SLACK_PART;
        return startMillis + Math.max(leastSlackMillis, targetMillis - neededMillis);
    }

    /** Learns from a first token. */
    void learnFirstToken(long tookMillis) {
        times.of(lane()).observe(firstTokenMillis(), tookMillis);
    }

    QueuedRequest ticket(boolean holdsReservation) {
        RequestClass requestClass = task.requestClass();
        return new QueuedRequest(
                arrival,
                requestClass.priority(),
                requestClass.patient(),
                holdsReservation,
                startByMillis(),
                startMillis + requestClass.timeoutMillis() / 2);
    }

    /** Returns the name of the lane in which requests to the same pools wait. */
    String lane() {
        return task.prefillPool().name() + "/" + task.decodePool().name();
    }

    private static int piecesOf(long tokens, Pool pool) {
        int perPiece = Math.max(1, pool.tokensPerPiece());
        return (int) ((tokens + perPiece - 1) / perPiece);
    }
}
