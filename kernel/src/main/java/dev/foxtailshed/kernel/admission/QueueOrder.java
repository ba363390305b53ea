package dev.foxtailshed.kernel.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Says which waiting request is tried next. Implementations need the lock of their queue. */
public interface QueueOrder {

    /**
     * Chooses the next request.
     *
     * @param waiting the requests that wait
     * @param nowMillis the time
     * @return the request to try, or nothing if none waits
     */
    Optional<QueuedRequest> next(Collection<QueuedRequest> waiting, long nowMillis);

    /**
     * Counts the waiting requests that go before another.
     *
     * @param waiting the requests that wait
     * @param ticket the other
     * @param nowMillis the time
     * @return the number
     */
    long countAhead(Collection<QueuedRequest> waiting, QueuedRequest ticket, long nowMillis);

    /** First come, first served; the reference for comparisons. */
    final class ByArrival implements QueueOrder {

        private static final Comparator<QueuedRequest> ORDER =
                Comparator.comparingLong(QueuedRequest::arrival);

        @Override
        public Optional<QueuedRequest> next(Collection<QueuedRequest> waiting, long nowMillis) {
            return waiting.stream().min(ORDER);
        }

        @Override
        public long countAhead(
                Collection<QueuedRequest> waiting, QueuedRequest ticket, long nowMillis) {
            return waiting.stream().filter(other -> ORDER.compare(other, ticket) < 0).count();
        }
    }

    /**
     * Those that hold a place first, then those that somebody waits for by priority and by the
     * latest start, then patient requests.
     *
     * <p>Among patient requests those that can still meet their target go first. A fixed share of
     * the starts goes to the oldest patient request, so that none starves, and one whose timeout
     * draws near goes before all.
     */
    final class ByTarget implements QueueOrder {

        private static final int PATIENT_SHARE = 8;
        private static final int HOLDS_PLACE = -2;
        private static final int URGENT = -1;
        private static final int PATIENT_IN_TIME = 100;
        private static final int PATIENT_LATE = 101;

        private int picks;

        @Override
        public Optional<QueuedRequest> next(Collection<QueuedRequest> waiting, long nowMillis) {
            if (waiting.isEmpty()) {
                return Optional.empty();
            }
            if (++picks % PATIENT_SHARE == 0) {
                Optional<QueuedRequest> oldest =
                        waiting.stream()
                                .filter(QueuedRequest::patient)
                                .min(Comparator.comparingLong(QueuedRequest::arrival));
                if (oldest.isPresent()) {
                    return oldest;
                }
            }
            return waiting.stream().min(order(nowMillis));
        }

        @Override
        public long countAhead(
                Collection<QueuedRequest> waiting, QueuedRequest ticket, long nowMillis) {
            Comparator<QueuedRequest> order = order(nowMillis);
            return waiting.stream().filter(other -> order.compare(other, ticket) < 0).count();
        }

        private static Comparator<QueuedRequest> order(long nowMillis) {
            return Comparator.comparingInt((QueuedRequest ticket) -> rank(ticket, nowMillis))
                    .thenComparingLong(QueuedRequest::startByMillis)
                    .thenComparingLong(QueuedRequest::arrival);
        }

        private static int rank(QueuedRequest ticket, long nowMillis) {
            if (ticket.holdsReservation()) {
                return HOLDS_PLACE;
            }
            if (!ticket.patient()) {
                return ticket.priority();
            }
            if (nowMillis >= ticket.urgentAtMillis()) {
                return URGENT;
            }
            return nowMillis <= ticket.startByMillis() ? PATIENT_IN_TIME : PATIENT_LATE;
        }
    }
}
