package dev.foxtailshed.standins.internal.engine;

import dev.foxtailshed.standins.internal.http.Json;
import dev.foxtailshed.standins.internal.http.Reply;
import java.util.List;

/** The response bodies and stream events of an engine. */
final class EngineReplies {

    private static final String EVENT_END = "\n\n";
    static final String DONE_EVENT = "data: [DONE]" + EVENT_END;

    private EngineReplies() {}

    static Reply prefillReply(EngineRequest request, String sourceUrl, long sizeBytes) {
        Export export = new Export(request.handle, sourceUrl, sizeBytes);
        PromptUsage usage =
                new PromptUsage(request.promptTokens, new PromptDetails(request.cachedTokens));
        PrefillBody body = new PrefillBody(request.requestId, export, usage);
        return Reply.json(200, Json.SNAKE.write(body));
    }

    static String tokenEvent(String text) {
        return event(new TokenEvent(List.of(new Choice(text, null))));
    }

    static String finalEvent(EngineRequest request, String text, String finishReason) {
        int generatedTokens = request.nextToken - request.completionRequest.continueTokens();
        CompletionUsage usage = new CompletionUsage(request.promptTokens, generatedTokens);
        return event(new FinalEvent(List.of(new Choice(text, finishReason)), usage));
    }

    private static String event(Object body) {
        return "data: " + Json.SNAKE.write(body) + EVENT_END;
    }

    private record PrefillBody(String id, Export kvTransferParams, PromptUsage usage) {}

    private record Export(String handle, String sourceUrl, long sizeBytes) {}

    private record PromptUsage(int promptTokens, PromptDetails promptTokensDetails) {}

    private record PromptDetails(int cachedTokens) {}

    private record TokenEvent(List<Choice> choices) {}

    private record FinalEvent(List<Choice> choices, CompletionUsage usage) {}

    private record Choice(String text, String finishReason) {}

    private record CompletionUsage(int promptTokens, int completionTokens) {}

    /** An admitted request and the pieces that it holds. */
    record RequestInfo(String requestId, String phase, int pieces) {}

    /** All admitted requests. */
    record RequestListing(List<RequestInfo> requests) {}

    /** The load that the engine reports. */
    record Load(int freeSlots, int freePieces, long queuedTokens) {}

    /**
     * The counts of the control API.
     *
     * <p>{@code ordersRefused} counts all calls that were refused for their fencing number.
     */
    record Counts(
            long prefilledTokens,
            long prefills,
            long decodes,
            long decodedTokens,
            long exportsEvicted,
            long cancels,
            long ordersRefused,
            int heldSlots,
            int heldPieces,
            int heldExports) {}
}
