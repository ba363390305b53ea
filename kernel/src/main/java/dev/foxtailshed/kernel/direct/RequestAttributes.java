package dev.foxtailshed.kernel.direct;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller says of its request.
 *
 * @param attemptId the id of this attempt of the caller
 * @param deadlineMillis how long the caller waits for the whole answer
 * @param resumeAfter the id of the last event that the caller already has
 * @param model what the request asks of a language model
 */
public record RequestAttributes(
        Optional<String> attemptId,
        OptionalLong deadlineMillis,
        OptionalLong resumeAfterEventId,
        Optional<TokenCounts> tokenCounts) {

    /**
     * What a request asks of a language model.
     *
     * @param promptTokens tokens of the prompt
     * @param maximumOutputTokens the most tokens that may be generated
     * @param expectedOutputTokens the caller's estimate of the tokens generated
     */
    public record TokenCounts(
            long promptTokens, long maximumOutputTokens, OptionalLong expectedOutputTokens) {

        /**
         * Returns the tokens that a decode server should hold for the request.
         *
         * @param headroom the factor on the caller's estimate
         * @return prompt and expected output, at most the largest output allowed
         */
        public long tokensToReserve(double headroom) {
            long expected = (long) (expectedOutputTokens.orElse(maximumOutputTokens) * headroom);
            return promptTokens + Math.min(maximumOutputTokens, expected);
        }
    }
}
