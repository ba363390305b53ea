package dev.foxtailshed.kernel.direct.quota;

/**
 * The response of a workspace's home to a draw.
 *
 * @param tokens the credit that was transferred: at least the needed tokens, or 0
 * @param creditAfterMillis if there was no credit, the estimated time until there is, at least 1;
 *     otherwise 0
 */
public record DrawReply(double tokens, long creditAfterMillis) {}
