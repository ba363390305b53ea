package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.hosting.SharedStore;
import dev.foxtailshed.daemon.hosting.StoreCollection;
import dev.foxtailshed.daemon.hosting.StoreEntry;
import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.direct.StorePosition;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The lease that allows one entry at a time to send stage changes to model servers.
 *
 * <p>Each grant is a conditional write to the store, whose revision is the fencing token: it
 * increases with each grant. The lease is renewed before each command and not in between. Another
 * entry takes it over only after it has seen it unchanged for two lease times on its own clock, so
 * commands of two holders are more than one lease time apart. Runs on the entry's loop.
 */
final class StageChangeLease {

    private static final String HOLDER = "holder";
    private static final String GRANTS = "grants";

    /** Number of lease times without a change after which another entry takes over. */
    private static final int TAKEOVER_LEASE_TIMES = 2;

    private final DirectContext context;
    private final SharedStore store;
    private final String name;
    private final String holder;
    private final long leaseMillis;
    private StorePosition seenPosition = StorePosition.NONE;
    private long seenSinceMillis;

    StageChangeLease(
            DirectContext context,
            SharedStore store,
            String name,
            String holder,
            long leaseMillis) {
        this.context = context;
        this.store = store;
        this.name = name;
        this.holder = holder;
        this.leaseMillis = leaseMillis;
    }

    /**
     * Returns how long a grant is valid, counted from the call that acquires it.
     *
     * @return the time in milliseconds
     */
    long durationMillis() {
        return leaseMillis;
    }

    /**
     * Acquires or renews the lease for a command that is sent at once; passes on its fencing token,
     * or empty if the command must not be sent.
     */
    void acquire(Consumer<OptionalLong> next) {
        store.get(StoreCollection.LEASES, name)
                .thenAccept(read -> context.runOnLoop(() -> onRead(read, next)));
    }

    private void onRead(
            Either<StoreFailure, Optional<StoreEntry>> read, Consumer<OptionalLong> next) {
        if (read.isLeft()) {
            reportRefusal("the store failed: " + read.getLeft().message(), next);
        } else if (read.get().isEmpty()) {
            store.create(StoreCollection.LEASES, name, body(1))
                    .thenAccept(written -> context.runOnLoop(() -> onWritten(written, next)));
        } else if (canAcquire(read.get().get())) {
            StoreEntry entry = read.get().get();
            store.replace(StoreCollection.LEASES, entry, body(grantsOf(entry) + 1))
                    .thenAccept(written -> context.runOnLoop(() -> onWritten(written, next)));
        } else {
            reportRefusal("held by " + holderOf(read.get().get()), next);
        }
    }

    private boolean canAcquire(StoreEntry entry) {
        if (holderOf(entry).equals(holder)) {
            return true;
        }
        long nowMillis = context.timer().nowMillis();
        if (!entry.position().equals(seenPosition)) {
            seenPosition = entry.position();
            seenSinceMillis = nowMillis;
        }
        return nowMillis - seenSinceMillis >= TAKEOVER_LEASE_TIMES * leaseMillis;
    }

    private void onWritten(Either<StoreFailure, StoreEntry> written, Consumer<OptionalLong> next) {
        if (written.isLeft()) {
            // If the write has taken effect nevertheless, the next read returns it.
            reportRefusal("not written: " + written.getLeft().message(), next);
            return;
        }
        EventLog.log(
                EventCode.LEASE_TAKEN,
                Field.of("fencingToken", written.get().position().revision()));
        next.accept(OptionalLong.of(written.get().position().revision()));
    }

    private static void reportRefusal(String cause, Consumer<OptionalLong> next) {
        EventLog.log(EventCode.LEASE_REFUSED, Field.of("cause", cause));
        next.accept(OptionalLong.empty());
    }

    private JsonObject body(long grants) {
        JsonObject body = new JsonObject();
        body.addProperty(HOLDER, holder);
        // Differs in each grant, since a write without a change gets no new revision.
        body.addProperty(GRANTS, grants);
        return body;
    }

    private static String holderOf(StoreEntry entry) {
        return entry.body().has(HOLDER) ? entry.body().get(HOLDER).getAsString() : "";
    }

    private static long grantsOf(StoreEntry entry) {
        return entry.body().has(GRANTS) ? entry.body().get(GRANTS).getAsLong() : 0;
    }
}
