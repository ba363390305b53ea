package dev.foxtailshed.kernel.suspects;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.List;
import java.util.Objects;

/**
 * The crash of a model server, and the prompts whose answers it had been asked to begin.
 *
 * @param server the server; an incarnation crashes at most once
 * @param crashedMillis when it crashed, on the clock of this process
 * @param prompts the prompts without a first event at the time of the crash
 */
public record ServerCrash(Incarnation server, long crashedMillis, List<PromptParts> prompts) {

    /** Checks the server and copies the list. */
    public ServerCrash {
        Objects.requireNonNull(server, "server");
        prompts = List.copyOf(prompts);
    }
}
