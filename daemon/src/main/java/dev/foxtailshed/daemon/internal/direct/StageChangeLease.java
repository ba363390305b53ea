package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import dev.foxtailshed.daemon.hosting.JsonFields;
import dev.foxtailshed.daemon.hosting.SharedStore;
import dev.foxtailshed.daemon.hosting.SharedStore.Lookup;
import dev.foxtailshed.daemon.hosting.StoreCollection;
import dev.foxtailshed.daemon.hosting.StoreEntry;
import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.direct.LeaseTakeover;
import dev.foxtailshed.kernel.direct.StorePosition;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The lease that allows one entry at a time to send stage changes to model servers.
 *
 * <p>Each grant is a conditional write to the store, whose position is the fencing token: it
 * increases with each grant, also when the store was restored from a copy in between. The lease is
 * renewed before each command and not in between. Another entry takes it over only after it has
 * seen it unchanged for two lease times on its own clock, so commands of two holders are more than
 * one lease time apart. Runs on the entry's loop.
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
    private final LeaseTakeover takeover;

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
        this.takeover = new LeaseTakeover(holder, TAKEOVER_LEASE_TIMES * leaseMillis);
    }

    /** Records that another entry has announced a command, as only the holder does. */
    void recordOtherHolder() {
        takeover.recordOtherHolder(context.timer().nowMillis());
    }

    /** Records the store's position at another call, so that a restore is noticed in time. */
    void observeStore(StorePosition position) {
        takeover.observeStore(position, context.timer().nowMillis());
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

    private void onRead(Either<StoreFailure, Lookup> read, Consumer<OptionalLong> next) {
        if (read.isLeft()) {
            reportRefusal("the store failed: " + read.getLeft().message(), next);
            return;
        }
        Optional<StoreEntry> entry = read.get().entry();
        Optional<String> current = entry.map(StageChangeLease::holderOf);
        if (!takeover.mayAcquire(current, read.get().position(), context.timer().nowMillis())) {
            reportRefusal(
                    takeover.mayBeHeldSinceRestore(context.timer().nowMillis())
                            ? "possibly held by another entry since the store was restored"
                            : "held by " + current.orElse("nobody"),
                    next);
            return;
        }
        entry.map(e -> store.replace(StoreCollection.LEASES, e, body(grantsOf(e) + 1)))
                .orElseGet(() -> store.create(StoreCollection.LEASES, name, body(1)))
                .thenAccept(
                        written ->
                                context.runOnLoop(
                                        () -> onWritten(read.get().position(), written, next)));
    }

    private void onWritten(
            StorePosition read,
            Either<StoreFailure, StoreEntry> written,
            Consumer<OptionalLong> next) {
        if (written.isLeft()) {
            // If the write has taken effect nevertheless, the next read returns it.
            reportRefusal("not written: " + written.getLeft().message(), next);
            return;
        }
        StorePosition position = written.get().position();
        if (!takeover.isAcquired(read, position, context.timer().nowMillis())) {
            reportRefusal("the store was restored meanwhile", next);
            return;
        }
        OptionalLong token = position.toFencingToken();
        if (token.isEmpty()) {
            reportRefusal("no fencing token for the position " + position, next);
            return;
        }
        EventLog.log(EventCode.LEASE_TAKEN, Field.of("fencingToken", token.getAsLong()));
        next.accept(token);
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
        return primitiveOf(entry, HOLDER).map(JsonPrimitive::getAsString).orElse("");
    }

    private static long grantsOf(StoreEntry entry) {
        try {
            return JsonFields.of("", entry.body()).getLong(GRANTS, 0);
        } catch (IllegalArgumentException e) {
            // Another writer's; the grants only have to differ from each other.
            return 0;
        }
    }

    /** Returns a field, or empty if another writer has left it out or given it another type. */
    private static Optional<JsonPrimitive> primitiveOf(StoreEntry entry, String field) {
        return Optional.ofNullable(entry.body().get(field))
                .filter(JsonElement::isJsonPrimitive)
                .map(JsonElement::getAsJsonPrimitive);
    }
}
