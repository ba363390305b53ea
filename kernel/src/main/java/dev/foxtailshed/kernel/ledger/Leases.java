package dev.foxtailshed.kernel.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The leases of entries, by entry incarnation. */
final class Leases {

    private final long leaseMillis;
    private final Map<Long, Long> endMillisByEntry = new HashMap<>();

    Leases(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    void renew(long entryIncarnation, long nowMillis) {
        endMillisByEntry.put(entryIncarnation, nowMillis + leaseMillis);
    }

    void remove(long entryIncarnation) {
        endMillisByEntry.remove(entryIncarnation);
    }

    List<Long> removeExpired(long nowMillis) {
        List<Long> expired = new ArrayList<>();
        Iterator<Map.Entry<Long, Long>> leases = endMillisByEntry.entrySet().iterator();
        while (leases.hasNext()) {
            Map.Entry<Long, Long> lease = leases.next();
            if (nowMillis >= lease.getValue()) {
                expired.add(lease.getKey());
                leases.remove();
            }
        }
        return expired;
    }
}
