package dev.foxtailshed.bench.load;

/**
 * Identifies a point: one run of the load under one combination of settings.
 *
 * @param router the router of the policy, such as naive or reserve-first
 * @param fault the injected fault
 * @param loadPercent the offered load in percent of the computed capacity
 * @param seed the seed of the arrivals
 */
record PointKey(String router, LoadFault fault, int loadPercent, long seed) {}
