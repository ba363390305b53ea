package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.direct.PromptParts;
import dev.foxtailshed.kernel.suspects.RequestTrait.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The traits of one request: the parts of its prompt in order, and digests of the whole request.
 * Immutable and thread-safe.
 *
 * @param traits the traits, the parts of the prompt first
 */
public record RequestTraits(List<RequestTrait> traits) {

    /** Copies the list. */
    public RequestTraits {
        traits = List.copyOf(traits);
    }

    /**
     * Creates the traits of a request.
     *
     * @param prompt the parts of its prompt
     * @param content the digest of its target, prompt and body
     * @param callerAndContent the digest of its caller, target, prompt and body
     * @return the traits
     */
    public static RequestTraits of(PromptParts prompt, String content, String callerAndContent) {
        List<RequestTrait> traits = new ArrayList<>(ofPrompt(prompt).traits());
        traits.add(new RequestTrait(Kind.CONTENT, content));
        traits.add(new RequestTrait(Kind.CALLER_AND_CONTENT, callerAndContent));
        return new RequestTraits(traits);
    }

    /**
     * Creates the traits of a request of which only the prompt is known.
     *
     * @param prompt the parts of the prompt
     * @return the traits
     */
    public static RequestTraits ofPrompt(PromptParts prompt) {
        return new RequestTraits(prompt.ids().stream().map(RequestTrait::promptPart).toList());
    }

    /**
     * Returns whether the request has all the given traits.
     *
     * @param others the traits to look for
     * @return true if it has all of them
     */
    public boolean containsAll(Set<RequestTrait> others) {
        return traits.containsAll(others);
    }

    /**
     * Returns whether a trait of this request is the first or the last part of its prompt.
     *
     * @param index the index of the trait
     * @return true for the first and the last part
     */
    boolean isOuterPart(int index) {
        return isLastPart(index) || index == 0 && isPart(index);
    }

    /**
     * Returns whether a trait of this request is the last part of its prompt.
     *
     * @param index the index of the trait
     * @return true for the last part, also if it is the only one
     */
    boolean isLastPart(int index) {
        return isPart(index) && !isPart(index + 1);
    }

    private boolean isPart(int index) {
        return index < traits.size() && traits.get(index).kind() == Kind.PROMPT_PART;
    }
}
