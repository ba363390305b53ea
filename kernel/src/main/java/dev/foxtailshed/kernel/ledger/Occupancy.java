package dev.foxtailshed.kernel.ledger;

/** Counts used request slots and KV pieces against limits that may change. */
final class Occupancy {

    private int slots;
    private int pieces;
    private int usedSlots;
    private int usedPieces;
    private int slotCeiling;
    private int pieceCeiling;

    void setLimits(int newSlots, int newPieces) {
        if (newSlots < 0 || newPieces < 0) {
            throw new IllegalArgumentException("limits must not be negative");
        }
        slots = newSlots;
        pieces = newPieces;
        updateCeilings();
    }

    boolean hasCapacity(int moreSlots, int morePieces) {
        return freeSlots() >= moreSlots && freePieces() >= morePieces;
    }

    void acquire(int moreSlots, int morePieces) {
        usedSlots += moreSlots;
        usedPieces += morePieces;
    }

    void release(int fewerSlots, int fewerPieces) {
        usedSlots -= fewerSlots;
        usedPieces -= fewerPieces;
        updateCeilings();
    }

    int freeSlots() {
        return Math.max(0, slots - usedSlots);
    }

    int freePieces() {
        return Math.max(0, pieces - usedPieces);
    }

    int usedSlots() {
        return usedSlots;
    }

    int usedPieces() {
        return usedPieces;
    }

    void check(int expectedSlots, int expectedPieces) {
        if (usedSlots != expectedSlots || usedPieces != expectedPieces) {
            throw new IllegalStateException(
                    "counted "
                            + usedSlots
                            + " slots and "
                            + usedPieces
                            + " pieces, but reservations hold "
                            + expectedSlots
                            + " and "
                            + expectedPieces);
        }
        if (usedSlots < 0 || usedPieces < 0) {
            throw new IllegalStateException("used slots or pieces are negative");
        }
        if (usedSlots > slotCeiling || usedPieces > pieceCeiling) {
            throw new IllegalStateException(
                    "used "
                            + usedSlots
                            + " slots of "
                            + slotCeiling
                            + " and "
                            + usedPieces
                            + " pieces of "
                            + pieceCeiling);
        }
    }

    /** Work that started under higher limits may exceed the new ones, but use must not grow. */
    private void updateCeilings() {
        slotCeiling = Math.max(slots, usedSlots);
        pieceCeiling = Math.max(pieces, usedPieces);
    }
}
