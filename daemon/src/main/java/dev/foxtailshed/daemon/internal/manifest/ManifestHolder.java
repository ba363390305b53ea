package dev.foxtailshed.daemon.internal.manifest;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.manifest.Manifest;
import dev.foxtailshed.kernel.manifest.ManifestInForce;
import dev.foxtailshed.kernel.manifest.ManifestProblem;
import dev.foxtailshed.kernel.manifest.ManifestReader;
import dev.foxtailshed.kernel.manifest.VersionGuard;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Holds the manifest in force at this instance; its version never decreases.
 *
 * <p>Readers get an immutable snapshot without locking. Thread-safe. Older versions and documents
 * that cannot be read are refused.
 */
public final class ManifestHolder {

    private final ManifestReader reader;
    private final Clock clock;
    private final AtomicReference<AppliedManifest> current =
            new AtomicReference<>(AppliedManifest.NONE);
    private final List<Consumer<AppliedManifest>> subscribers = new CopyOnWriteArrayList<>();

    /**
     * Creates an empty holder.
     *
     * @param reader reads documents
     * @param clock provides the time at which a manifest takes effect
     */
    public ManifestHolder(ManifestReader reader, Clock clock) {
        this.reader = reader;
        this.clock = clock;
    }

    /**
     * Returns the manifest in force.
     *
     * @return the manifest, with version zero before the first one
     */
    public ManifestInForce inForce() {
        return current.get().inForce();
    }

    /**
     * Returns the manifest in force with its bytes.
     *
     * @return the manifest, with version zero before the first one
     */
    public AppliedManifest applied() {
        return current.get();
    }

    /**
     * Returns the version of the manifest in force.
     *
     * @return the version, zero before the first manifest
     */
    public long version() {
        return current.get().version();
    }

    /**
     * Adds a subscriber that is called with every newer manifest after it has taken effect.
     *
     * @param subscriber must not block
     */
    public void subscribe(Consumer<AppliedManifest> subscriber) {
        subscribers.add(subscriber);
    }

    /**
     * Applies a manifest if it is newer than the one in force.
     *
     * @param version its version
     * @param document its bytes
     * @return whether the manifest was applied
     */
    public boolean applyIfNewer(long version, byte[] document) {
        if (!VersionGuard.shouldApply(version(), version)) {
            EventLog.log(
                    EventCode.MANIFEST_STALE,
                    Field.of("version", version),
                    Field.of("inForce", version()));
            return false;
        }
        Either<List<ManifestProblem>, Manifest> read = reader.read(document);
        if (read.isLeft()) {
            EventLog.log(
                    EventCode.MANIFEST_UNREADABLE,
                    Field.of("version", version),
                    Field.of("problem", read.getLeft().get(0)));
            return false;
        }
        return replace(
                new AppliedManifest(
                        ManifestInForce.of(version, read.get()), document, clock.millis()));
    }

    private boolean replace(AppliedManifest next) {
        if (current.accumulateAndGet(next, AppliedManifest::newerOf) != next) {
            return false;
        }
        EventLog.log(EventCode.MANIFEST_APPLIED, Field.of("version", next.version()));
        subscribers.forEach(subscriber -> subscriber.accept(next));
        return true;
    }
}
