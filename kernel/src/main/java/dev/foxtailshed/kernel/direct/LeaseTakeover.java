package dev.foxtailshed.kernel.direct;

import java.util.Optional;

/**
 * Decides when a process may acquire a lease that is kept as an entry of the platform's store.
 *
 * <p>Another holder's lease may be acquired after it has been seen unchanged for the takeover time.
 * A restore of the store may lose a lease while its holder acts on it, or bring back an earlier
 * holder. After a restore, a lease is therefore not acquired within the takeover time of a sign
 * that another process holds it: holders announce what they do to all others, not through the
 * store. Times are taken from this process's clock only. Not thread-safe.
 */
public final class LeaseTakeover {

    private final String self;
    private final long takeoverMillis;
    private StorePosition store = StorePosition.NONE;
    private StorePosition lease = StorePosition.NONE;
    private long leaseSeenMillis;
    private Optional<Long> restoredMillis = Optional.empty();
    private Optional<Long> otherActiveMillis = Optional.empty();

    /**
     * Creates the decision for one lease.
     *
     * @param self the name of this process as a holder
     * @param takeoverMillis the time after which a holder that has not renewed its lease sends no
     *     more commands
     */
    public LeaseTakeover(String self, long takeoverMillis) {
        this.self = self;
        this.takeoverMillis = takeoverMillis;
    }

    /**
     * Records the store's position at any call, so that a restore is noticed.
     *
     * @param position the position; one of an earlier era is ignored
     * @param nowMillis the current time
     */
    public void observeStore(StorePosition position, long nowMillis) {
        if (position.compareTo(store) <= 0) {
            return;
        }
        if (!store.equals(StorePosition.NONE) && !position.isSameHistory(store)) {
            restoredMillis = Optional.of(nowMillis);
        }
        store = position;
    }

    /**
     * Records a sign that another process holds the lease.
     *
     * @param nowMillis the current time
     */
    public void recordOtherHolder(long nowMillis) {
        otherActiveMillis = Optional.of(nowMillis);
    }

    /**
     * Returns whether a lease that a restore has lost may be held by another process.
     *
     * @param nowMillis the current time
     * @return whether the store was restored and another holder was active, both within the
     *     takeover time
     */
    public boolean mayBeHeldSinceRestore(long nowMillis) {
        return isWithinTakeover(restoredMillis, nowMillis)
                && isWithinTakeover(otherActiveMillis, nowMillis);
    }

    private boolean isWithinTakeover(Optional<Long> eventMillis, long nowMillis) {
        return eventMillis.isPresent() && nowMillis - eventMillis.get() < takeoverMillis;
    }

    /**
     * Returns whether this process may try to acquire or renew the lease.
     *
     * @param holder the holder of the lease as just read, empty if there is no lease
     * @param position the position of the lease's entry, or that of the read without one
     * @param nowMillis the current time
     * @return whether a conditional write may follow
     */
    public boolean mayAcquire(Optional<String> holder, StorePosition position, long nowMillis) {
        observeStore(position, nowMillis);
        if (mayBeHeldSinceRestore(nowMillis)) {
            return false;
        }
        if (holder.isEmpty() || holder.get().equals(self)) {
            return true;
        }
        if (!position.equals(lease)) {
            lease = position;
            leaseSeenMillis = nowMillis;
        }
        return nowMillis - leaseSeenMillis >= takeoverMillis;
    }

    /**
     * Returns whether a write has given the lease to this process.
     *
     * @param read the position that was read before the write
     * @param written the position of the write
     * @param nowMillis the current time
     * @return false if the store was restored in between, so that the condition of the write may
     *     have held for another entry with the same revision
     */
    public boolean isAcquired(StorePosition read, StorePosition written, long nowMillis) {
        observeStore(written, nowMillis);
        if (!read.isSameHistory(written)) {
            recordOtherHolder(nowMillis);
            return false;
        }
        return true;
    }
}
