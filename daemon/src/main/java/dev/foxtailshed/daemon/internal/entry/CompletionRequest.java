package dev.foxtailshed.daemon.internal.entry;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request in the published completions format.
 *
 * @param deployment the name of the deployment, which callers give as the model
 * @param prompt the prompt; for chats, the joined messages
 * @param maxTokens the limit on output tokens, if the caller set one
 * @param stream whether the answer is sent as server-sent events
 * @param chat whether the request and its answer are in the chat format
 */
record CompletionRequest(
        String deployment, String prompt, OptionalInt maxTokens, boolean stream, boolean chat) {

    static Either<RequestFailure, CompletionRequest> parse(byte[] body, boolean chat) {
        try {
            JsonElement root = JsonParser.parseString(new String(body, StandardCharsets.UTF_8));
            if (!root.isJsonObject()) {
                return invalid("$", "an object");
            }
            return parse(root.getAsJsonObject(), chat);
        } catch (JsonParseException e) {
            return Either.left(
                    RequestFailure.notRun(
                            ErrorCode.INVALID_REQUEST, "the body is not JSON: " + e.getMessage()));
        }
    }

    private static Either<RequestFailure, CompletionRequest> parse(JsonObject root, boolean chat) {
        Optional<String> model = stringMember(root, "model");
        if (model.isEmpty()) {
            return invalid("$.model", "the name of a deployment");
        }
        Optional<String> prompt = chat ? joinMessages(root) : stringMember(root, "prompt");
        if (prompt.isEmpty() || prompt.get().isBlank()) {
            return chat
                    ? invalid("$.messages", "an array of objects with role and content")
                    : invalid("$.prompt", "a string that is not blank");
        }
        if (root.has("n") && !isOne(root.get("n"))) {
            return invalid("$.n", "1, the only supported number of answers");
        }
        boolean stream = root.has("stream") && isTrue(root.get("stream"));
        if (!root.has("max_tokens")) {
            return Either.right(
                    new CompletionRequest(
                            model.get(), prompt.get(), OptionalInt.empty(), stream, chat));
        }
        return parseMaxTokens(root.get("max_tokens"))
                .map(
                        limit ->
                                new CompletionRequest(
                                        model.get(),
                                        prompt.get(),
                                        OptionalInt.of(limit),
                                        stream,
                                        chat));
    }

    private static Either<RequestFailure, Integer> parseMaxTokens(JsonElement element) {
        try {
            if (element.isJsonPrimitive() && element.getAsInt() > 0) {
                return Either.right(element.getAsInt());
            }
        } catch (NumberFormatException e) {
            return invalid("$.max_tokens", "a positive integer");
        }
        return invalid("$.max_tokens", "a positive integer");
    }

    private static Optional<String> joinMessages(JsonObject root) {
        if (!(root.get("messages") instanceof JsonArray messages) || messages.isEmpty()) {
            return Optional.empty();
        }
        StringBuilder joined = new StringBuilder();
        for (JsonElement element : messages) {
            if (!(element instanceof JsonObject message)) {
                return Optional.empty();
            }
            Optional<String> role = stringMember(message, "role");
            Optional<String> content = stringMember(message, "content");
            if (role.isEmpty() || content.isEmpty()) {
                return Optional.empty();
            }
            joined.append(role.get()).append(": ").append(content.get()).append('\n');
        }
        return Optional.of(joined.toString());
    }

    private static Optional<String> stringMember(JsonObject object, String name) {
        JsonElement element = object.get(name);
        boolean isString =
                element != null
                        && element.isJsonPrimitive()
                        && element.getAsJsonPrimitive().isString();
        return isString ? Optional.of(element.getAsString()) : Optional.empty();
    }

    private static boolean isOne(JsonElement element) {
        return element.isJsonPrimitive() && element.getAsString().equals("1");
    }

    private static boolean isTrue(JsonElement element) {
        return element.isJsonPrimitive() && element.getAsBoolean();
    }

    private static <T> Either<RequestFailure, T> invalid(String path, String expected) {
        return Either.left(
                RequestFailure.notRun(ErrorCode.INVALID_REQUEST, path + ": expected " + expected));
    }
}
