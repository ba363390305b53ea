package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.wire.Message;

/** Builds the work messages of a request to a model. */
final class ModelMessages {

    private ModelMessages() {}

    static Message.PrefillWork prefill(
            ResolvedModelRequest request, String generated, long timeoutMillis) {
        return new Message.PrefillWork(
                request.deployment().model(),
                request.completion().prompt() + generated,
                request.requestClass().priority(),
                timeoutMillis);
    }

    static Message.DecodeWork decode(
            ResolvedModelRequest request,
            String generated,
            int generatedTokens,
            long timeoutMillis,
            Message.Prefilled prefilled) {
        return new Message.DecodeWork(
                request.deployment().model(),
                request.completion().prompt(),
                generated,
                generatedTokens,
                request.maxTokens(),
                request.requestClass().priority(),
                timeoutMillis,
                prefilled.export());
    }
}
