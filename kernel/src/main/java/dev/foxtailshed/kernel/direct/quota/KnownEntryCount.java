package dev.foxtailshed.kernel.direct.quota;

/**
 * The number of entries that an entry divides limits by, to be sent with each message between
 * entries.
 *
 * @param entries the number
 * @param validMillis how long it is to be used if it is higher than the receiver's own
 */
public record KnownEntryCount(int entries, long validMillis) {}
