package dev.foxtailshed.kernel.ledger;

/**
 * A snapshot of a ledger's state.
 *
 * @param manifestVersion the manifest version whose limits apply, zero for none
 * @param draining whether the ledger drains and refuses new offers
 * @param freeSlots request slots that can be granted, zero while the server is unreachable
 * @param freePieces KV pieces that can be granted, zero while the server is unreachable
 * @param usedSlots request slots that are granted or in use
 * @param usedPieces KV pieces that are granted or in use
 * @param queuedTokens prompt tokens of committed prefill attempts that have not finished
 * @param liveReservations attempts that have not ended
 * @param endedRecords ended attempts whose records are kept
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
