package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.RequestFailure;

/** Formats the answer of a model for its caller. Implementations are immutable. */
interface AnswerFormat {

    /** Returns the content type of the answer. */
    String contentType();

    /** Returns the bytes before the first part. */
    byte[] opening();

    /** Returns the bytes of one part. */
    byte[] part(String text);

    /** Returns the bytes after the last part of a complete answer. */
    byte[] closing(String finishReason, Usage usage);

    /** Returns the bytes that report a failure after the answer has started; may be empty. */
    byte[] failure(RequestFailure failure);

    /**
     * Token counts of an answer.
     *
     * @param promptTokens tokens of the prompt
     * @param cachedTokens prompt tokens that were found in a prefix cache
     * @param completionTokens tokens of the answer
     */
    record Usage(long promptTokens, long cachedTokens, long completionTokens) {}
}
