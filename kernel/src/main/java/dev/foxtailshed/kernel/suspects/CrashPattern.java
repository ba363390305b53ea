package dev.foxtailshed.kernel.suspects;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Traits of requests that explain several crashes of servers.
 *
 * <p>A pattern has more than one trait as long as these traits were seen in the same crashes only.
 * A request matches if it has all of them, so that requests which share only some of the traits are
 * still served.
 *
 * @param traits the traits
 * @param crashes the crashes that the traits explain, oldest first
 */
public record CrashPattern(Set<RequestTrait> traits, List<ServerCrash> crashes) {

    /** Copies the collections. */
    public CrashPattern {
        traits = Set.copyOf(traits);
        crashes = List.copyOf(crashes);
    }

    /**
     * Returns the traits as text.
     *
     * @return the labels of the traits, equal at all entries
     */
    public Set<String> labels() {
        return traits.stream().map(RequestTrait::label).collect(Collectors.toSet());
    }

    /**
     * Returns when the last of the crashes occurred.
     *
     * @return the time in milliseconds on the clock of this process
     */
    public long lastCrashMillis() {
        return crashes.get(crashes.size() - 1).crashedMillis();
    }
}
