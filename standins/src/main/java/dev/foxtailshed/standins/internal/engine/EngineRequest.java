package dev.foxtailshed.standins.internal.engine;

import dev.foxtailshed.standins.internal.http.Call;
import dev.foxtailshed.standins.internal.http.ReplyStream;
import java.util.List;
import java.util.Optional;

/**
 * The state of one request in an engine.
 *
 * <p>Not thread-safe; guarded by the lock of the engine.
 */
final class EngineRequest {

    private static final String CRASH_ENGINE_WORD = "crash-engine";
    private static final String CRASH_DECODE_WORD = "crash-decode";

    final String requestId;
    final CompletionRequest completionRequest;
    final Call call;
    final CompletionText completionText;
    final int promptTokens;
    final int pieces;
    final long sequence;
    final boolean crashesEngine;
    final boolean crashesDecode;

    Phase phase;
    boolean ended;

    List<String> prefixHashes = List.of();
    int cachedTokens;
    long prefillTokensLeft;

    String handle;

    Optional<ReplyStream> stream = Optional.empty();
    int nextToken;

    EngineRequest(
            String requestId,
            CompletionRequest completionRequest,
            Call call,
            int promptTokens,
            int pieces,
            long sequence) {
        this.requestId = requestId;
        this.completionRequest = completionRequest;
        this.call = call;
        this.completionText =
                new CompletionText(completionRequest.model(), completionRequest.prompt());
        this.promptTokens = promptTokens;
        this.pieces = pieces;
        this.sequence = sequence;
        List<String> words = List.of(CompletionText.splitWords(completionRequest.prompt()));
        this.crashesEngine = words.contains(CRASH_ENGINE_WORD);
        this.crashesDecode = words.contains(CRASH_DECODE_WORD);
        this.phase = completionRequest.isPrefill() ? Phase.PREFILL : Phase.IMPORT;
        this.nextToken = completionRequest.continueTokens();
    }

    boolean holdsSlot() {
        return phase != Phase.EXPORT;
    }

    /** The phase of a request. */
    enum Phase {
        PREFILL,
        EXPORT,
        IMPORT,
        DECODE
    }
}
