package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;

/**
 * The calls under way that reserve capacity for the requests of an admission queue.
 *
 * <p>A call ends once: with the reply of the server, or by being abandoned because none comes. What
 * happens to a call after its end changes nothing here, in whatever order a reply and a timeout are
 * handled. A request is therefore never in the queue while a call for it is under way or has ended
 * with a grant. Not thread-safe.
 *
 * @param <T> the type of the queued items
 */
public final class ReservationCalls<T> {

    private final AdmissionQueue<T> queue;
    private int underWay;

    /**
     * Creates the calls of a queue, none of which is under way.
     *
     * @param queue the queue
     */
    public ReservationCalls(AdmissionQueue<T> queue) {
        this.queue = queue;
    }

    /**
     * A call for one request.
     *
     * @param <T> the type of the queued item
     */
    public static final class Call<T> {
        private final Waiter<T> waiter;
        private boolean ended;

        private Call(Waiter<T> waiter) {
            this.waiter = waiter;
        }

        /**
         * Returns the request.
         *
         * @return the request, which is not in the queue while the call is under way
         */
        public Waiter<T> waiter() {
            return waiter;
        }

        /**
         * Returns whether the call has ended, with a reply or by being abandoned.
         *
         * @return false while the call is under way
         */
        public boolean hasEnded() {
            return ended;
        }
    }

    /**
     * Takes a request out of the queue for a call.
     *
     * @param waiter the queued request
     * @return the call, which is under way
     */
    public Call<T> start(Waiter<T> waiter) {
        queue.take(waiter);
        underWay++;
        return new Call<>(waiter);
    }

    /**
     * Ends a call whose request leaves the queue for good: it is served, or no longer waits.
     *
     * @param call the call
     * @return false if the call had ended before, so that its request may be elsewhere
     */
    public boolean end(Call<T> call) {
        if (call.ended) {
            return false;
        }
        call.ended = true;
        underWay--;
        return true;
    }

    /**
     * Ends a call whose request still waits, and returns the request to its place in the queue.
     *
     * @param call the call
     * @return false if the call had ended before; the queue is then unchanged
     */
    public boolean endAndRequeue(Call<T> call) {
        if (!end(call)) {
            return false;
        }
        queue.requeue(call.waiter);
        return true;
    }

    /**
     * Returns the number of calls under way.
     *
     * @return the number, not negative
     */
    public int underWay() {
        return underWay;
    }
}
