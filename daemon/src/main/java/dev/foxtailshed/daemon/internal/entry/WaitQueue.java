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
 * A queue of requests that wait for capacity at a backend server, with one lane for each set of
 * pools.
 *
 * <p>A waiting request holds no engine memory, unless it has one reservation and waits for the
 * second. Thread-safe.
 */
final class WaitQueue {

    private static final int WAKE_BATCH = 4;

    /**
     * A lane is kept while empty for a few wake-ups, since woken requests are queued again if they
     * find no capacity.
     */
    private static final int MAXIMUM_EMPTY_WAKES = 8;

    private final TimerService timer;
    private final Map<String, Lane> lanes = new LinkedHashMap<>();

    WaitQueue(TimerService timer) {
        this.timer = timer;
    }

    /**
     * A waiting request.
     *
     * @param lane the name of the lane of its pools
     * @param queuedRequest determines its position in the queue order
     * @param retry looks for capacity again; must not block
     */
    record Waiter(String lane, QueuedRequest queuedRequest, Runnable retry) {}

    /** Adds a request; a lane keeps the order that was given with its first request. */
    void add(Waiter waiter, QueueOrder order) {
        synchronized (lanes) {
            Lane lane = lanes.computeIfAbsent(waiter.lane(), name -> new Lane(order));
            lane.rate.recordWaiting(timer.nowMillis());
            lane.waiters.put(waiter.queuedRequest(), waiter);
        }
    }

    void remove(Waiter waiter) {
        synchronized (lanes) {
            Lane lane = lanes.get(waiter.lane());
            if (lane != null) {
                lane.waiters.remove(waiter.queuedRequest());
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

    /** Counts a request of the lane that has got its decode reservation. */
    void recordStart(String laneName) {
        synchronized (lanes) {
            Lane lane = lanes.get(laneName);
            if (lane != null) {
                lane.rate.recordStart(timer.nowMillis());
            }
        }
    }

    /** Predicts how long a request would wait; empty if too little of the lane was observed. */
    OptionalLong predictedWaitMillis(String laneName, QueuedRequest queuedRequest) {
        synchronized (lanes) {
            Lane lane = lanes.get(laneName);
            if (lane == null) {
                return OptionalLong.empty();
            }
            long nowMillis = timer.nowMillis();
            long ahead = lane.order.countAhead(lane.waiters.keySet(), queuedRequest, nowMillis);
            return lane.rate.estimateMillis(ahead + 1, nowMillis);
        }
    }

    /** Wakes the first few requests of each lane, which then look for capacity again. */
    void wake() {
        List<Waiter> woken = new ArrayList<>();
        synchronized (lanes) {
            lanes.values().forEach(lane -> lane.poll(timer.nowMillis(), woken));
            lanes.values().removeIf(lane -> lane.emptyWakes > MAXIMUM_EMPTY_WAKES);
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
