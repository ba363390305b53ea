package dev.foxtailshed.bench.load;

import dev.foxtailshed.harness.Completion;
import java.util.Optional;

/**
 * A request and the time at which it is sent, regardless of the outcomes of earlier requests.
 *
 * @param number the index within the point
 * @param dueMicros the time at which it is sent, since the start of the point
 * @param kind the kind, with its latency targets
 * @param counted whether it arrives in the measurement window
 * @param promptTokens the number of prompt tokens, zero for calls
 * @param outputTokens the number of output tokens, zero for calls
 * @param completion the completion to request, empty for calls
 */
record PlannedRequest(
        int number,
        long dueMicros,
        RequestKind kind,
        boolean counted,
        int promptTokens,
        int outputTokens,
        Optional<Completion> completion) {}
