package dev.foxtailshed.kernel.direct;

import java.util.List;
import java.util.Set;

/**
 * The ids of the parts of which a prompt consists, in order.
 *
 * <p>Requests share parts, such as instructions or documents. The last part belongs to one request
 * or to one session. Immutable and thread-safe.
 *
 * @param ids the ids of the parts, empty for a request without a prompt
 */
public record PromptParts(List<String> ids) {

    /** The parts of a request without a prompt. */
    public static final PromptParts NONE = new PromptParts(List.of());

    /** Copies the list. */
    public PromptParts {
        ids = List.copyOf(ids);
    }

    /**
     * Returns whether the prompt has all the given parts.
     *
     * @param parts the ids to look for
     * @return true if it has all of them
     */
    public boolean containsAll(Set<String> parts) {
        return ids.containsAll(parts);
    }
}
