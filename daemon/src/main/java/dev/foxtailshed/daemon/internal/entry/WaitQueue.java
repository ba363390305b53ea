package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.admission.QueueOrder;
import dev.foxtailshed.kernel.admission.QueuedRequest;
import dev.foxtailshed.kernel.admission.StartRate;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Requests that wait for room at a backend server, in one lane for each set of pools.
 *
 * <p>A waiting request holds no engine memory, but for one that waits for its second place.
 * Thread-safe.
 */
final class WaitQueue {

    private static final int WAKE_BATCH = 4;

    /** Woken requests come back if they find no room, so that a lane may be empty for a moment. */
    private static final int EMPTY_WAKES = 8;

    private final TimerService timer;
    private final Map<String, Lane> lanes = new LinkedHashMap<>();

    WaitQueue(TimerService timer) {
        this.timer = timer;
    }

    /**
     * A request that waits.
     *
     * @param lane the lane of its pools
     * @param ticket what its place in the order depends on
     * @param retry tries again to find room; must not block
     */
    record Waiter(String lane, QueuedRequest ticket, Runnable retry) {}

    /** Adds a request; the order is that of the first request of the lane. */
    void add(Waiter waiter, QueueOrder order) {
        synchronized (lanes) {
            Lane lane = lanes.computeIfAbsent(waiter.lane(), name -> new Lane(order));
            lane.rate.recordWaiting(timer.nowMillis());
            lane.waiters.put(waiter.ticket(), waiter);
        }
    }

    void remove(Waiter waiter) {
        synchronized (lanes) {
            Lane lane = lanes.get(waiter.lane());
            if (lane != null) {
                lane.waiters.remove(waiter.ticket());
            }
        }
    }

    int size() {
        synchronized (lanes) {
            return lanes.values().stream().mapToInt(lane -> lane.waiters.size()).sum();
        }
    }

    boolean isEmpty(String laneName) {
        synchronized (lanes) {
            Lane lane = lanes.get(laneName);
            return lane == null || lane.waiters.isEmpty();
        }
    }

    /** Tells that a request of the lane got its places. */
    void started(String laneName) {
        synchronized (lanes) {
            Lane lane = lanes.get(laneName);
            if (lane != null) {
                lane.rate.recordStart(timer.nowMillis());
            }
        }
    }

    /** Predicts how long a request would wait, if enough was seen of the lane. */
    OptionalLong predictedWaitMillis(String laneName, QueuedRequest ticket) {
        synchronized (lanes) {
            Lane lane = lanes.get(laneName);
            if (lane == null) {
                return OptionalLong.empty();
            }
            long nowMillis = timer.nowMillis();
            long ahead = lane.order.countAhead(lane.waiters.keySet(), ticket, nowMillis);
            return lane.rate.estimateMillis(ahead + 1, nowMillis);
        }
    }

    /** Lets the first few requests of each lane try again. */
    void wake() {
        List<Waiter> woken = new ArrayList<>();
        synchronized (lanes) {
            lanes.values().forEach(lane -> lane.poll(timer.nowMillis(), woken));
            lanes.values().removeIf(lane -> lane.emptyWakes > EMPTY_WAKES);
        }
        woken.forEach(waiter -> waiter.retry().run());
    }

    private static final class Lane {

        private final QueueOrder order;
        private final StartRate rate = new StartRate();
        private final Map<QueuedRequest, Waiter> waiters = new LinkedHashMap<>();
        private int emptyWakes;

        Lane(QueueOrder order) {
            this.order = order;
        }

        void poll(long nowMillis, List<Waiter> woken) {
            emptyWakes = waiters.isEmpty() ? emptyWakes + 1 : 0;
            for (int i = 0; i < WAKE_BATCH && !waiters.isEmpty(); i++) {
                order.next(waiters.keySet(), nowMillis).map(waiters::remove).ifPresent(woken::add);
            }
        }
    }
}
