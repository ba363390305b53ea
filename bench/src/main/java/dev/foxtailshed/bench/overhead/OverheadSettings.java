package dev.foxtailshed.bench.overhead;

/**
 * The settings of an overhead run.
 *
 * @param rounds the number of repetitions
 * @param seconds the length of each phase with many callers
 * @param callers the number of concurrent lookups
 * @param streams the number of concurrent streams
 * @param tokens the number of output tokens of each stream
 * @param warmUpCalls warm-up lookups, direct and through the entry each; limited to 40 s
 */
record OverheadSettings(
        int rounds, int seconds, int callers, int streams, int tokens, int warmUpCalls) {}
