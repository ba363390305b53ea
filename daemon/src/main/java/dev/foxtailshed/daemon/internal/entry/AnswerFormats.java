package dev.foxtailshed.daemon.internal.entry;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.kernel.RequestFailure;
import java.nio.charset.StandardCharsets;

/** Creates the published answer formats: streamed or as one document, as completion or as chat. */
final class AnswerFormats {

    private static final Gson GSON = new Gson();
    private static final byte[] EMPTY = {};

    private AnswerFormats() {}

    static AnswerFormat of(CompletionRequest request, String id, long createdEpochSeconds) {
        JsonFragments fragments = new JsonFragments(request, id, createdEpochSeconds);
        return request.stream() ? new StreamedFormat(fragments) : new DocumentFormat(fragments);
    }

    /** The JSON fragments that differ between completions and chats. */
    private static final class JsonFragments {
        private final String commonFields;
        private final String streamedOpening;
        private final String streamedClosing;
        private final String documentOpening;
        private final String documentClosing;

        JsonFragments(CompletionRequest request, String id, long createdEpochSeconds) {
            String prefix = request.chat() ? "chatcmpl-" : "cmpl-";
            commonFields =
                    "{\"id\":"
                            + GSON.toJson(prefix + id)
                            + ",\"created\":"
                            + createdEpochSeconds
                            + ",\"model\":"
                            + GSON.toJson(request.deployment());
            if (request.chat()) {
                streamedOpening =
                        ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
                                + "\"delta\":{\"content\":";
                streamedClosing = "}";
                documentOpening =
                        ",\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
                                + "\"message\":{\"role\":\"assistant\",\"content\":";
                documentClosing = "}";
            } else {
                streamedOpening =
                        ",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":";
                streamedClosing = "";
                documentOpening = streamedOpening;
                documentClosing = "";
            }
        }
    }

    private static final class StreamedFormat implements AnswerFormat {
        private final JsonFragments fragments;

        StreamedFormat(JsonFragments fragments) {
            this.fragments = fragments;
        }

        @Override
        public String contentType() {
            return "text/event-stream";
        }

        @Override
        public byte[] opening() {
            return EMPTY;
        }

        @Override
        public byte[] part(String text) {
            return event(choice(text) + ",\"finish_reason\":null}]}");
        }

        @Override
        public byte[] closing(String finishReason, Usage usage) {
            String last =
                    choice("")
                            + ",\"finish_reason\":"
                            + GSON.toJson(finishReason)
                            + "}]"
                            + usageField(usage)
                            + "}";
            return utf8("data: " + last + "\n\ndata: [DONE]\n\n");
        }

        @Override
        public byte[] failure(RequestFailure failure) {
            return event(ErrorBody.envelope(failure).toString());
        }

        private String choice(String text) {
            return fragments.commonFields
                    + fragments.streamedOpening
                    + GSON.toJson(text)
                    + fragments.streamedClosing;
        }

        private static byte[] event(String json) {
            return utf8("data: " + json + "\n\n");
        }
    }

    /** Writes one JSON document part by part, so that an answer is never buffered as a whole. */
    private static final class DocumentFormat implements AnswerFormat {
        private final JsonFragments fragments;

        DocumentFormat(JsonFragments fragments) {
            this.fragments = fragments;
        }

        @Override
        public String contentType() {
            return "application/json";
        }

        @Override
        public byte[] opening() {
            return utf8(fragments.commonFields + fragments.documentOpening + "\"");
        }

        @Override
        public byte[] part(String text) {
            String quoted = GSON.toJson(text);
            return utf8(quoted.substring(1, quoted.length() - 1));
        }

        @Override
        public byte[] closing(String finishReason, Usage usage) {
            return utf8(
                    "\""
                            + fragments.documentClosing
                            + ",\"finish_reason\":"
                            + GSON.toJson(finishReason)
                            + "}]"
                            + usageField(usage)
                            + "}");
        }

        @Override
        public byte[] failure(RequestFailure failure) {
            // A truncated document is not valid JSON and cannot be mistaken for a complete answer.
            return EMPTY;
        }
    }

    private static String usageField(AnswerFormat.Usage usage) {
        JsonObject details = new JsonObject();
        details.addProperty("cached_tokens", usage.cachedTokens());
        JsonObject json = new JsonObject();
        json.addProperty("prompt_tokens", usage.promptTokens());
        json.addProperty("completion_tokens", usage.completionTokens());
        json.addProperty("total_tokens", usage.promptTokens() + usage.completionTokens());
        json.add("prompt_tokens_details", details);
        return ",\"usage\":" + json;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
