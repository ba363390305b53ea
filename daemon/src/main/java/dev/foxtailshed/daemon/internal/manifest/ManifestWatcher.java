package dev.foxtailshed.daemon.internal.manifest;

import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.StoredObject;
import dev.foxtailshed.kernel.TimerService;
import io.vavr.control.Either;
import java.util.Optional;

/**
 * Watches the manifest head in the object API and applies the manifest that it refers to.
 *
 * <p>One watch is pending at the platform at any time; a failure is retried after a pause.
 * Thread-safe.
 */
public final class ManifestWatcher {

    private static final long WATCH_TIMEOUT_MILLIS = 20_000;
    private static final long RETRY_MILLIS = 500;

    private final ObjectStore store;
    private final ManifestStore manifests;
    private final ManifestHolder holder;
    private final TimerService timer;
    private volatile long seenObjectVersion;
    private volatile boolean storeUnavailable;
    private volatile boolean closed;

    /**
     * Creates a watcher.
     *
     * @param store the object API
     * @param manifests records the versions of the head
     * @param holder applies newer manifests
     * @param timer schedules retries
     */
    public ManifestWatcher(
            ObjectStore store, ManifestStore manifests, ManifestHolder holder, TimerService timer) {
        this.store = store;
        this.manifests = manifests;
        this.holder = holder;
        this.timer = timer;
    }

    /** Starts watching. */
    public void start() {
        watchHead();
    }

    /** Stops watching once the pending watch returns. */
    public void close() {
        closed = true;
    }

    private void watchHead() {
        if (!closed) {
            store.watch(ManifestHead.OBJECT_NAME, seenObjectVersion, WATCH_TIMEOUT_MILLIS)
                    .thenAccept(this::onHead);
        }
    }

    private void onHead(Either<StoreFailure, Optional<StoredObject>> answer) {
        logAvailability(answer);
        if (answer.isLeft()) {
            timer.once(RETRY_MILLIS, this::watchHead);
        } else if (answer.get().isEmpty()) {
            // Without a head the platform may respond at once; the pause avoids a busy loop.
            timer.once(seenObjectVersion == 0 ? RETRY_MILLIS : 0, this::watchHead);
        } else {
            fetch(answer.get().get());
        }
    }

    private void fetch(StoredObject object) {
        manifests.recordHeadVersion(object.version());
        Optional<ManifestHead> head = ManifestHead.parse(object.body());
        if (head.isEmpty() || head.get().version() <= holder.version()) {
            seenObjectVersion = object.version();
            timer.once(0, this::watchHead);
            return;
        }
        store.get(head.get().documentName())
                .thenAccept(document -> apply(object.version(), head.get(), document));
    }

    private void apply(
            long objectVersion,
            ManifestHead head,
            Either<StoreFailure, Optional<StoredObject>> document) {
        if (document.isLeft() || document.get().isEmpty()) {
            timer.once(RETRY_MILLIS, this::watchHead);
            return;
        }
        holder.applyIfNewer(head.version(), document.get().get().body());
        seenObjectVersion = objectVersion;
        watchHead();
    }

    private void logAvailability(Either<StoreFailure, Optional<StoredObject>> answer) {
        if (answer.isLeft() && !storeUnavailable) {
            EventLog.log(
                    EventCode.STORE_UNAVAILABLE, Field.of("cause", answer.getLeft().message()));
        } else if (answer.isRight() && storeUnavailable) {
            EventLog.log(EventCode.STORE_AVAILABLE);
        }
        storeUnavailable = answer.isLeft();
    }
}
