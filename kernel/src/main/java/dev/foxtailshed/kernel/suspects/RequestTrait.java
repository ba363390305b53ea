package dev.foxtailshed.kernel.suspects;

import java.util.Comparator;
import java.util.Objects;

/**
 * A property by which requests that crash servers may be recognized. Immutable and thread-safe.
 *
 * @param kind what the value identifies
 * @param value the id of a part of a prompt, or a digest
 */
public record RequestTrait(Kind kind, String value) implements Comparable<RequestTrait> {

    private static final Comparator<RequestTrait> ORDER =
            Comparator.comparing(RequestTrait::kind).thenComparing(RequestTrait::value);

    /** The kinds of traits. */
    public enum Kind {
        /** A part of a prompt, which many requests may share. */
        PROMPT_PART(""),
        /** The target, prompt and body of a request, whoever sends it. */
        CONTENT("content:"),
        /** A request that one caller sends again. */
        CALLER_AND_CONTENT("caller:");

        private final String prefix;

        Kind(String prefix) {
            this.prefix = prefix;
        }
    }

    /** Checks that no component is null. */
    public RequestTrait {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(value, "value");
    }

    /**
     * Creates the trait of a part of a prompt.
     *
     * @param id the id of the part, without a colon
     * @return the trait
     */
    public static RequestTrait promptPart(String id) {
        return new RequestTrait(Kind.PROMPT_PART, id);
    }

    /**
     * Parses a label.
     *
     * @param label the result of {@link #label}
     * @return the trait
     */
    public static RequestTrait parse(String label) {
        for (Kind kind : new Kind[] {Kind.CONTENT, Kind.CALLER_AND_CONTENT}) {
            if (label.startsWith(kind.prefix)) {
                return new RequestTrait(kind, label.substring(kind.prefix.length()));
            }
        }
        return promptPart(label);
    }

    /**
     * Returns the trait as text, for logs and messages between entries.
     *
     * @return the id of a part, or a digest after the name of its kind
     */
    public String label() {
        return kind.prefix + value;
    }

    @Override
    public int compareTo(RequestTrait other) {
        return ORDER.compare(this, other);
    }
}
