package dev.foxtailshed.kernel.routing;

/** The order in which a request gets its two places. Implementations are immutable. */
public interface PlacementOrder {

    /**
     * Returns what to do next.
     *
     * @param decode the state of the place in the decode pool
     * @param prefill the state of the place in the prefill pool
     * @return the step
     */
    PlacementStep next(ReservationState decode, ReservationState prefill);

    /**
     * Tells whether a decode place is worth holding only while a prefill server has room too.
     *
     * @return true if both are looked for before either is taken
     */
    boolean requiresCapacityInBothPools();

    /**
     * Reserves the decode place before the prompt is read, since a prompt's KV cache outlives the
     * reading by less than a second. A place that was lost meanwhile is sought anew.
     */
    final class ReserveFirst implements PlacementOrder {

        @Override
        public boolean requiresCapacityInBothPools() {
            return true;
        }

        @Override
        public PlacementStep next(ReservationState decode, ReservationState prefill) {
            if (decode == ReservationState.NONE) {
                return PlacementStep.RESERVE_DECODE;
            }
            if (decode != ReservationState.GRANTED) {
                return PlacementStep.NOTHING;
            }
            return switch (prefill) {
                case NONE -> PlacementStep.RESERVE_PREFILL;
                case GRANTED -> PlacementStep.START_PREFILL;
                case PREFILLED -> PlacementStep.START_DECODE;
                default -> PlacementStep.NOTHING;
            };
        }
    }

    /** Reads the prompt and only then looks for a decode place; the reference for comparisons. */
    final class PrefillFirst implements PlacementOrder {

        @Override
        public boolean requiresCapacityInBothPools() {
            return false;
        }

        @Override
        public PlacementStep next(ReservationState decode, ReservationState prefill) {
            return switch (prefill) {
                case NONE -> PlacementStep.RESERVE_PREFILL;
                case GRANTED -> PlacementStep.START_PREFILL;
                case PREFILLED -> afterReading(decode);
                default -> PlacementStep.NOTHING;
            };
        }

        private static PlacementStep afterReading(ReservationState decode) {
            return switch (decode) {
                case NONE -> PlacementStep.RESERVE_DECODE;
                case GRANTED -> PlacementStep.START_DECODE;
                default -> PlacementStep.NOTHING;
            };
        }
    }
}
