package dev.foxtailshed.kernel.direct.quota;

/**
 * A request for credit to a workspace's home.
 *
 * @param home the address of the entry to ask
 * @param workspace the name of the workspace
 * @param neededTokens what the waiting request lacks; less than that is of no use
 * @param wantedTokens what the entry would take, at least the needed tokens
 * @param sentMillis when the draw was made, by the clock of the entry that made it; not sent
 */
public record Draw(
        String home, String workspace, double neededTokens, double wantedTokens, long sentMillis) {}
