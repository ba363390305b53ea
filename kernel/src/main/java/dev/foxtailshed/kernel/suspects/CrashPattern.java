package dev.foxtailshed.kernel.suspects;

import java.util.List;
import java.util.Set;

/**
 * Parts of prompts that explain several crashes of model servers.
 *
 * <p>A pattern has more than one part as long as these parts were seen in the same crashes only. A
 * request matches if its prompt has all of them, so that requests which share only some of the
 * parts are still served.
 *
 * @param parts the ids of the parts
 * @param crashes the crashes that the parts explain, oldest first
 */
public record CrashPattern(Set<String> parts, List<ServerCrash> crashes) {

    /** Copies the collections. */
    public CrashPattern {
        parts = Set.copyOf(parts);
        crashes = List.copyOf(crashes);
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
