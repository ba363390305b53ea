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
 * Follows the head of the manifest in the object API and applies what it points to.
 *
 * <p>One watch waits at the platform at any time; a failure is retried after a pause. Thread-safe.
 */
public final class ManifestWatcher {

    private static final long WATCH_MILLIS = 20_000;
    private static final long PAUSE_MILLIS = 500;

    private final ObjectStore store;
    private final ManifestStore manifests;
    private final ManifestHolder holder;
    private final TimerService timer;
    private volatile long seenObjectVersion;
    private volatile boolean storeDown;
    private volatile boolean closed;

    /**
     * Creates the watcher.
     *
     * @param store the object API
     * @param manifests hears which head was seen
     * @param holder what applies newer manifests
     * @param timer paces retries
     */
    public ManifestWatcher(
            ObjectStore store, ManifestStore manifests, ManifestHolder holder, TimerService timer) {
        this.store = store;
        this.manifests = manifests;
        this.holder = holder;
        this.timer = timer;
    }

    /** Begins to follow the head. */
    public void start() {
        next();
    }

    /** Ends following once the present watch returns. */
    public void close() {
        closed = true;
    }

    private void next() {
        if (!closed) {
            store.watch(ManifestHead.OBJECT_NAME, seenObjectVersion, WATCH_MILLIS)
                    .thenAccept(this::onHead);
        }
    }

    private void onHead(Either<StoreFailure, Optional<StoredObject>> answer) {
        note(answer);
        if (answer.isLeft()) {
            timer.once(PAUSE_MILLIS, this::next);
        } else if (answer.get().isEmpty()) {
            // A platform that answers at once that there is no head yet must not be asked in a
            // spin.
            timer.once(seenObjectVersion == 0 ? PAUSE_MILLIS : 0, this::next);
        } else {
            fetch(answer.get().get());
        }
    }

    private void fetch(StoredObject object) {
        manifests.noteHead(object.version());
        Optional<ManifestHead> head = ManifestHead.parse(object.body());
        if (head.isEmpty() || head.get().version() <= holder.version()) {
            seenObjectVersion = object.version();
            timer.once(0, this::next);
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
            timer.once(PAUSE_MILLIS, this::next);
            return;
        }
        holder.applyIfNewer(head.version(), document.get().get().body());
        seenObjectVersion = objectVersion;
        next();
    }

    private void note(Either<StoreFailure, Optional<StoredObject>> answer) {
        if (answer.isLeft() && !storeDown) {
            EventLog.log(
                    EventCode.STORE_UNAVAILABLE, Field.of("cause", answer.getLeft().message()));
        } else if (answer.isRight() && storeDown) {
            EventLog.log(EventCode.STORE_AVAILABLE);
        }
        storeDown = answer.isLeft();
    }
}
