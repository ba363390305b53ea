package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.wire.Message;

/** Builds the orders of a request to a model. */
final class ModelMessages {

    private ModelMessages() {}

    static Message.PrefillWork prefill(
            ResolvedModelRequest task, String generated, long timeoutMillis) {
        return new Message.PrefillWork(
                task.deployment().model(),
                task.request().prompt() + generated,
                task.requestClass().priority(),
                timeoutMillis);
    }

    static Message.DecodeWork decode(
            ResolvedModelRequest task,
            String generated,
            int generatedTokens,
            long timeoutMillis,
            Message.Prefilled prefilled) {
        return new Message.DecodeWork(
                task.deployment().model(),
                task.request().prompt(),
                generated,
                generatedTokens,
                task.maxTokens(),
                task.requestClass().priority(),
                timeoutMillis,
                prefilled.export());
    }
}
