package dev.foxtailshed.daemon.internal.sidecar;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import dev.foxtailshed.wire.Message.DecodeWork;
import dev.foxtailshed.wire.Message.KvExport;
import dev.foxtailshed.wire.Message.PrefillWork;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Converts the JSON bodies of the engine protocol. An absent field is null in these records. */
final class EngineJson {

    private static final Gson GSON =
            new GsonBuilder()
                    .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
                    .disableHtmlEscaping()
                    .create();

    private EngineJson() {}

    /** The body of a completion request. */
    record CompletionRequest(
            String model,
            String prompt,
            int maxTokens,
            boolean stream,
            int priority,
            String continueText,
            Integer continueTokens,
            KvTransferParams kvTransferParams) {}

    /** The parameters of a KV cache transfer from one engine to another. */
    record KvTransferParams(
            Boolean doRemoteDecode,
            Boolean doRemotePrefill,
            String handle,
            String sourceUrl,
            Long sizeBytes) {}

    /** The response to a completion request, or one event of a streamed response. */
    record Completion(List<Choice> choices, KvTransferParams kvTransferParams, Usage usage) {

        Optional<Choice> firstChoice() {
            return choices == null || choices.isEmpty()
                    ? Optional.empty()
                    : Optional.of(choices.get(0));
        }

        Optional<KvExport> export() {
            boolean complete =
                    kvTransferParams != null
                            && kvTransferParams.handle() != null
                            && kvTransferParams.sourceUrl() != null
                            && kvTransferParams.sizeBytes() != null;
            return complete
                    ? Optional.of(
                            new KvExport(
                                    kvTransferParams.handle(),
                                    kvTransferParams.sourceUrl(),
                                    kvTransferParams.sizeBytes()))
                    : Optional.empty();
        }

        long promptTokens() {
            return usage == null ? 0 : usage.promptTokens();
        }

        long cachedTokens() {
            return usage == null || usage.promptTokensDetails() == null
                    ? 0
                    : usage.promptTokensDetails().cachedTokens();
        }
    }

    /** A piece of generated text and, in the last one, the reason why the model stopped. */
    record Choice(String text, String finishReason) {}

    /** The token counts of a completion. */
    record Usage(long promptTokens, PromptTokensDetails promptTokensDetails) {}

    /** The part of the prompt tokens that was found in the prefix cache. */
    record PromptTokensDetails(long cachedTokens) {}

    /** The body of a cancellation; also one item of {@link HeldRequests}. */
    record CancelRequest(String requestId) {}

    /** The requests that an engine holds. */
    record HeldRequests(List<CancelRequest> requests) {}

    static byte[] prefillRequest(PrefillWork work) {
        return toBytes(
                new CompletionRequest(
                        work.model(),
                        work.prompt(),
                        1,
                        false,
                        work.priority(),
                        null,
                        null,
                        new KvTransferParams(true, null, null, null, null)));
    }

    static byte[] decodeRequest(DecodeWork work) {
        KvExport export = work.export();
        boolean isResumed = work.generatedTokens() > 0;
        return toBytes(
                new CompletionRequest(
                        work.model(),
                        work.prompt(),
                        work.maxTokens(),
                        true,
                        work.priority(),
                        isResumed ? work.generated() : null,
                        isResumed ? work.generatedTokens() : null,
                        new KvTransferParams(
                                null,
                                true,
                                export.handle(),
                                export.sourceUrl(),
                                export.sizeBytes())));
    }

    static byte[] cancelRequest(String requestId) {
        return toBytes(new CancelRequest(requestId));
    }

    static Completion parseCompletion(String json) {
        return parse(json, Completion.class);
    }

    static List<String> parseHeldRequests(byte[] body) {
        HeldRequests heldRequests =
                parse(new String(body, StandardCharsets.UTF_8), HeldRequests.class);
        return heldRequests.requests() == null
                ? List.of()
                : heldRequests.requests().stream().map(CancelRequest::requestId).toList();
    }

    private static <T> T parse(String json, Class<T> type) {
        T value = GSON.fromJson(json, type);
        if (value == null) {
            throw new JsonParseException("the JSON document is empty");
        }
        return value;
    }

    private static byte[] toBytes(Object body) {
        return GSON.toJson(body).getBytes(StandardCharsets.UTF_8);
    }
}
