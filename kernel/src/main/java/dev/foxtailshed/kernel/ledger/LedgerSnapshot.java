package dev.foxtailshed.kernel.ledger;

/**
 * A snapshot of a ledger.
 *
 * @param manifestVersion the version whose limits apply, zero for none
 * @param draining whether new offers are refused
 * @param freeSlots request slots that can be granted, zero while suspended
 * @param freePieces KV pieces that can be granted, zero while suspended
 * @param usedSlots request slots granted or at work
 * @param usedPieces KV pieces granted or held
 * @param queuedTokens prompt tokens committed and not read yet
 * @param liveReservations attempts that hold a place
 * @param endedRecords ended attempts that are remembered
 */
public record LedgerSnapshot(
        long manifestVersion,
        boolean draining,
        int freeSlots,
        int freePieces,
        int usedSlots,
        int usedPieces,
        long queuedTokens,
        int liveReservations,
        int endedRecords) {}
