package dev.foxtailshed.kernel.manifest;

/**
 * The latency targets and the priority of a kind of request.
 *
 * @param name the name of the class
 * @param priority the priority from 0 to 9, zero is served first
 * @param timeToFirstTokenMillis the target time to the first token, or of the whole call for plain
 *     calls
 * @param timeBetweenTokensMillis the target time between two tokens, zero for plain calls
 * @param timeoutMillis the maximum total duration of a request
 * @param patient whether requests wait in the queue instead of being refused
 */
public record RequestClass(
        String name,
        int priority,
        long timeToFirstTokenMillis,
        long timeBetweenTokensMillis,
        long timeoutMillis,
        boolean patient) {}
