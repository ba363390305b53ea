package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.admission.QueuedRequest;
import dev.foxtailshed.kernel.manifest.Pool;
import dev.foxtailshed.kernel.manifest.RequestClass;
import dev.foxtailshed.wire.WorkKind;

/**
 * Estimates the KV pieces, the transfer size and the times that a request to a model needs.
 *
 * <p>Immutable.
 *
 * @param request the request
 * @param times the predictors of the time to the first token
 * @param arrival the arrival number of the request
 * @param startMillis when the request arrived
 */
record ModelResourceEstimate(
        ResolvedModelRequest request, ServiceTimes times, long arrival, long startMillis) {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long TRANSFER_OVERHEAD_MILLIS = 50;

    /**
     * A request may always wait for the target divided by this, so that a prediction that is too
     * high is measured and corrected.
     */
    private static final long MINIMUM_SLACK_DIVISOR = 5;

    /** Returns the KV pieces that the request holds at a server. */
    int pieces(WorkKind kind, int generatedTokens) {
        return kind == WorkKind.DECODE
                ? piecesOf(request.promptTokens() + request.maxTokens(), request.decodePool())
                : piecesOf(request.promptTokens() + generatedTokens, request.prefillPool());
    }

    /** Returns how long prefill takes on an idle server. */
    long prefillMillis() {
        return request.promptTokens()
                * MILLIS_PER_SECOND
                / Math.max(1, request.prefillPool().prefillTokensPerSecond());
    }

    /** Returns the size of the KV cache that is transferred. */
    long transferBytes() {
        return request.promptTokens() * request.decodePool().kvBytesPerToken();
    }

    /** Returns the minimum time from the start of the work to the first token. */
    long firstTokenMillis() {
        long transferMillis =
                transferBytes()
                        * MILLIS_PER_SECOND
                        / Math.max(1, request.decodePool().linkBytesPerSecond());
        return prefillMillis() + transferMillis + TRANSFER_OVERHEAD_MILLIS;
    }

    /** Returns the latest time at which the request can start and still meet its target. */
    long startByMillis() {
        long neededMillis = times.forLane(lane()).predictMillis(firstTokenMillis());
        long targetMillis = request.requestClass().timeToFirstTokenMillis();
        long minimumSlackMillis = targetMillis / MINIMUM_SLACK_DIVISOR;
        return startMillis + Math.max(minimumSlackMillis, targetMillis - neededMillis);
    }

    /** Updates the prediction with a measured time to the first token. */
    void observeFirstToken(long tookMillis) {
        times.forLane(lane()).observe(firstTokenMillis(), tookMillis);
    }

    QueuedRequest queuedRequest(boolean holdsReservation) {
        RequestClass requestClass = request.requestClass();
        return new QueuedRequest(
                arrival,
                requestClass.priority(),
                requestClass.patient(),
                holdsReservation,
                startByMillis(),
                startMillis + requestClass.timeoutMillis() / 2);
    }

    /** Returns the name of the queue lane in which requests to the same pools wait. */
    String lane() {
        return request.prefillPool().name() + "/" + request.decodePool().name();
    }

    private static int piecesOf(long tokens, Pool pool) {
        int perPiece = Math.max(1, pool.tokensPerPiece());
        return (int) ((tokens + perPiece - 1) / perPiece);
    }
}
