package dev.foxtailshed.kernel.direct.quota;

import java.util.List;

/**
 * A request of a home for the credit that another entry does not need.
 *
 * @param peer the address of the entry to ask
 * @param workspaces the names of the workspaces that the home needs credit for
 * @param sentMillis when the request was made, by the clock of the home; not sent
 */
public record Collect(String peer, List<String> workspaces, long sentMillis) {

    /** Keeps a copy of the names. */
    public Collect {
        workspaces = List.copyOf(workspaces);
    }
}
