package dev.foxtailshed.kernel.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * The order in which waiting requests are tried. Not thread-safe: callers hold the lock of the
 * queue.
 */
public interface QueueOrder {

    /**
     * Chooses the next request.
     *
     * @param waiting the waiting requests
     * @param nowMillis the current time
     * @return the request to try, or empty if none waits
     */
    Optional<QueuedRequest> next(Collection<QueuedRequest> waiting, long nowMillis);

    /**
     * Counts the waiting requests that are tried before another one.
     *
     * @param waiting the waiting requests
     * @param request the other request
     * @param nowMillis the current time
     * @return the number of requests ahead
     */
    long countAhead(Collection<QueuedRequest> waiting, QueuedRequest request, long nowMillis);

    /** Orders by arrival; the baseline for comparisons. */
    final class ByArrival implements QueueOrder {

        private static final Comparator<QueuedRequest> ORDER =
                Comparator.comparingLong(QueuedRequest::arrival);

        @Override
        public Optional<QueuedRequest> next(Collection<QueuedRequest> waiting, long nowMillis) {
            return waiting.stream().min(ORDER);
        }

        @Override
        public long countAhead(
                Collection<QueuedRequest> waiting, QueuedRequest request, long nowMillis) {
            return waiting.stream().filter(other -> ORDER.compare(other, request) < 0).count();
        }
    }

    /**
     * Orders requests that hold a reservation first, then interactive requests by priority and
     * latest start time, then patient requests.
     *
     * <p>Patient requests that can still meet their target precede those that cannot. A fixed share
     * of the picks goes to the oldest patient request, so that none starves, and a patient request
     * close to its timeout precedes all interactive ones.
     */
    final class ByTarget implements QueueOrder {

        /** The interval, in picks, at which the order takes the oldest patient request. */
        private static final int PATIENT_PICK_INTERVAL = 8;

        private static final int HOLDS_RESERVATION = -2;
        private static final int URGENT = -1;
        private static final int PATIENT_IN_TIME = 100;
        private static final int PATIENT_LATE = 101;

        private int picks;

        @Override
        public Optional<QueuedRequest> next(Collection<QueuedRequest> waiting, long nowMillis) {
            if (waiting.isEmpty()) {
                return Optional.empty();
            }
            if (++picks % PATIENT_PICK_INTERVAL == 0) {
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
                Collection<QueuedRequest> waiting, QueuedRequest request, long nowMillis) {
            Comparator<QueuedRequest> order = order(nowMillis);
            return waiting.stream().filter(other -> order.compare(other, request) < 0).count();
        }

        private static Comparator<QueuedRequest> order(long nowMillis) {
            return Comparator.comparingInt((QueuedRequest request) -> rank(request, nowMillis))
                    .thenComparingLong(QueuedRequest::startByMillis)
                    .thenComparingLong(QueuedRequest::arrival);
        }

        private static int rank(QueuedRequest request, long nowMillis) {
            if (request.holdsReservation()) {
                return HOLDS_RESERVATION;
            }
            if (!request.patient()) {
                return request.priority();
            }
            if (nowMillis >= request.urgentAtMillis()) {
                return URGENT;
            }
            return nowMillis <= request.startByMillis() ? PATIENT_IN_TIME : PATIENT_LATE;
        }
    }
}
