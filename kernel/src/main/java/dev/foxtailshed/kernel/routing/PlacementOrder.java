package dev.foxtailshed.kernel.routing;

/**
 * The order in which a request reserves its decode and prefill servers. Implementations are
 * immutable.
 */
public interface PlacementOrder {

    /**
     * Returns the next step.
     *
     * @param decode the state of the reservation in the decode pool
     * @param prefill the state of the reservation in the prefill pool
     * @return the step
     */
    PlacementStep next(ReservationState decode, ReservationState prefill);

    /**
     * Returns whether a decode slot should be reserved only if a prefill server has free capacity
     * too.
     *
     * @return true if servers in both pools must be found before either is reserved
     */
    boolean requiresCapacityInBothPools();

    /**
     * Reserves a decode server before the prefill, because an engine keeps a prompt's KV cache for
     * less than a second after the prefill. A reservation that was lost in the meantime is
     * requested again.
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

    /** Runs the prefill before it reserves a decode server; the baseline for comparisons. */
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
                case PREFILLED -> afterPrefill(decode);
                default -> PlacementStep.NOTHING;
            };
        }

        private static PlacementStep afterPrefill(ReservationState decode) {
            return switch (decode) {
                case NONE -> PlacementStep.RESERVE_DECODE;
                case GRANTED -> PlacementStep.START_DECODE;
                default -> PlacementStep.NOTHING;
            };
        }
    }
}
