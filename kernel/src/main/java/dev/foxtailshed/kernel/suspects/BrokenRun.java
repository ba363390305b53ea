package dev.foxtailshed.kernel.suspects;

/**
 * A request that a server was answering when it crashed.
 *
 * <p>Most such requests are harmless, as a crash breaks off all that a server runs.
 *
 * @param request the traits of the request
 * @param events the events of this run that had arrived; 0 if the run continues a stream and had
 *     brought none yet, and 1 if the beginning of a response without events had arrived
 * @param durationMillis the time from sending the request to the server until it was broken off
 */
public record BrokenRun(RequestTraits request, int events, long durationMillis) {}
