package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.workspace.ApiKey;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Attributes that a caller sends with a request.
 *
 * @param attemptId the caller's id for this attempt
 * @param deadlineMillis how long the caller waits for the complete answer, counted from sending
 * @param resumeAfterEventId the id of the last event that the caller has already received
 * @param tokenCounts the token counts of a request to a language model
 * @param promptParts the parts of its prompt
 * @param apiKey the caller's key; empty if it sent none or a malformed one
 */
public record RequestAttributes(
        Optional<String> attemptId,
        OptionalLong deadlineMillis,
        OptionalLong resumeAfterEventId,
        Optional<TokenCounts> tokenCounts,
        PromptParts promptParts,
        Optional<ApiKey> apiKey) {

    /**
     * Token counts of a request to a language model.
     *
     * @param promptTokens the number of tokens in the prompt
     * @param maximumOutputTokens the maximum number of tokens to generate
     * @param expectedOutputTokens the caller's estimate of the number of generated tokens
     */
    public record TokenCounts(
            long promptTokens, long maximumOutputTokens, OptionalLong expectedOutputTokens) {

        /**
         * Returns the tokens that a decode server should reserve for the request.
         *
         * @param outputFactor the factor applied to the expected output, or to the maximum output
         *     if there is no estimate
         * @return prompt tokens plus scaled output tokens, where the output is capped at its
         *     maximum
         */
        public long tokensToReserve(double outputFactor) {
            long outputTokens =
                    (long) (expectedOutputTokens.orElse(maximumOutputTokens) * outputFactor);
            return promptTokens + Math.min(maximumOutputTokens, outputTokens);
        }

        /**
         * Returns the likely size of the output.
         *
         * @return the caller's estimate, at most the maximum output; the maximum without an
         *     estimate
         */
        public long likelyOutputTokens() {
            return Math.min(maximumOutputTokens, expectedOutputTokens.orElse(maximumOutputTokens));
        }
    }
}
