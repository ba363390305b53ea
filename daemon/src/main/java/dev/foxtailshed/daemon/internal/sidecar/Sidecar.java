package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.ledger.LedgerSnapshot;
import dev.foxtailshed.kernel.manifest.VersionGuard;
import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.Connection.Peer;
import dev.foxtailshed.wire.FrameServer;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.LoadReport;
import dev.foxtailshed.wire.Message.ManifestDocument;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Admits work to one backend server and runs it there; all work for the server passes through it.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Sidecar sidecar = new Sidecar(settings, frameServer, driver, timer, executor, limits, events);
 * InetSocketAddress address = sidecar.start();
 * sidecar.drain().join();
 * sidecar.close();
 * }</pre>
 *
 * <p>It accepts no work until the backend server has listed the requests that it holds, all of them
 * are released, and an entry has sent a manifest. Offers are refused while it drains and while the
 * backend server is unreachable. Thread-safe; all state is confined to the given executor, which
 * must run one task at a time and in order.
 */
public final class Sidecar implements AutoCloseable {

    private static final long INSTANCE_LISTING_TICK_MILLIS = 1_000;

    private final SidecarSettings settings;
    private final FrameServer frameServer;
    private final BackendDriver driver;
    private final TimerService timer;
    private final Executor executor;
    private final ManifestLimits manifestLimits;
    private final SidecarEvents events;
    private final EntryConnections connections;
    private final WorkHandler workHandler;
    private final List<TimerService.Subscription> subscriptions = new ArrayList<>();
    private final InstanceListingCache instanceListing = new InstanceListingCache();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean closed;
    private CachedManifest manifest = CachedManifest.NONE;
    private boolean reconciled;
    private boolean reconcileInProgress;
    private boolean backendDown;
    private boolean draining;
    private long lastTickMillis;

    /**
     * Creates a sidecar that does nothing before {@link #start}.
     *
     * @param settings names, times and bounds
     * @param frameServer accepts the connections of entries
     * @param driver runs work at the backend server
     * @param timer provides the time and periodic tasks
     * @param executor runs one task at a time, in order
     * @param manifestLimits reads the limits of this backend server from manifests
     * @param events receives events for operators
     */
    public Sidecar(
            SidecarSettings settings,
            FrameServer frameServer,
            BackendDriver driver,
            TimerService timer,
            Executor executor,
            ManifestLimits manifestLimits,
            SidecarEvents events) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.frameServer = Objects.requireNonNull(frameServer, "frameServer");
        this.driver = Objects.requireNonNull(driver, "driver");
        this.timer = Objects.requireNonNull(timer, "timer");
        Objects.requireNonNull(executor, "executor");
        this.executor = task -> executor.execute(() -> runUnlessClosed(task));
        this.manifestLimits = Objects.requireNonNull(manifestLimits, "manifestLimits");
        this.events = Objects.requireNonNull(events, "events");
        this.connections =
                new EntryConnections(
                        timer, this.executor, settings.reportGapMillis(), this::loadReport);
        this.workHandler =
                new WorkHandler(
                        settings,
                        driver,
                        timer,
                        this.executor,
                        events,
                        connections::reportChange,
                        this::onLeaseExpired);
    }

    /**
     * Starts to accept connections.
     *
     * @return the bound address
     * @throws IOException if the address cannot be bound
     */
    public InetSocketAddress start() throws IOException {
        lastTickMillis = timer.nowMillis();
        InetSocketAddress address =
                frameServer.listen(settings.listenAddress(), EntryListener::new);
        schedulePeriodic(settings.tickMillis(), this::tick);
        schedulePeriodic(settings.heartbeatMillis(), connections::sendHeartbeats);
        schedulePeriodic(settings.reconcileMillis(), this::reconcile);
        schedulePeriodic(
                INSTANCE_LISTING_TICK_MILLIS, () -> instanceListing.tick(connections.all()));
        executor.execute(this::reconcile);
        events.started(address);
        return address;
    }

    /**
     * Refuses new work, waits for all work in flight to end, then closes all connections.
     *
     * @return completes when all connections are closed
     */
    public CompletableFuture<Void> drain() {
        executor.execute(
                () -> {
                    if (!draining) {
                        draining = true;
                        events.drainStarted();
                        workHandler.drain();
                    }
                });
        return drained;
    }

    /** Closes all connections at once; prefer {@link #drain}. */
    @Override
    public void close() {
        closed = true;
        subscriptions.forEach(TimerService.Subscription::cancel);
        frameServer.close();
        drained.complete(null);
    }

    private void runUnlessClosed(Runnable task) {
        if (!closed) {
            task.run();
        }
    }

    private void schedulePeriodic(long periodMillis, Runnable task) {
        subscriptions.add(timer.every(periodMillis, () -> executor.execute(task)));
    }

    private LoadReport loadReport() {
        LedgerSnapshot counts = workHandler.counts();
        return new LoadReport(
                manifest.version(),
                counts.draining(),
                counts.freeSlots(),
                counts.freePieces(),
                counts.queuedTokens(),
                workHandler.linkBacklogBytes());
    }

    private void tick() {
        long nowMillis = timer.nowMillis();
        boolean paused = nowMillis - lastTickMillis > settings.terms().leaseMillis() / 2;
        lastTickMillis = nowMillis;
        if (paused) {
            // After a pause of this process, received heartbeats may still be queued behind this
            // tick.
            connections.all().forEach(entry -> workHandler.renewLease(entry.peer().incarnation()));
        }
        workHandler.tick();
        if (draining && workHandler.counts().liveReservations() == 0 && connections.areFlushed()) {
            finishDrain();
        }
    }

    private void finishDrain() {
        if (!drained.isDone()) {
            events.drainFinished();
            frameServer.close();
            drained.complete(null);
        }
    }

    private void reconcile() {
        if (reconcileInProgress) {
            return;
        }
        reconcileInProgress = true;
        Set<String> known = workHandler.knownRequests();
        driver.heldRequests()
                .thenAccept(held -> executor.execute(() -> releaseOrphans(held, known)));
    }

    private void releaseOrphans(Either<String, List<String>> held, Set<String> known) {
        if (held.isLeft()) {
            reconcileInProgress = false;
            if (!backendDown) {
                events.backendUnreachable(held.getLeft());
            }
            backendDown = true;
            workHandler.suspend(true);
            return;
        }
        backendDown = false;
        workHandler
                .releaseOrphans(held.get(), known)
                .thenRun(() -> executor.execute(this::finishReconcile));
    }

    private void finishReconcile() {
        reconcileInProgress = false;
        workHandler.suspend(false);
        if (!reconciled) {
            reconciled = true;
            workHandler.applyLimits(manifest);
        }
    }

    private void onLeaseExpired(long entryIncarnation) {
        events.leaseExpired(entryIncarnation);
        connections.closeAllOf(entryIncarnation);
    }

    private void applyManifest(CachedManifest newer) {
        if (!VersionGuard.shouldApply(manifest.version(), newer.version())) {
            return;
        }
        manifest = newer;
        if (reconciled) {
            workHandler.applyLimits(manifest);
        }
        connections.reportChange();
    }

    private void handle(EntryConnection entry, Message message) {
        workHandler.renewLease(entry.peer().incarnation());
        if (message instanceof Message.Heartbeat heartbeat) {
            entry.requestManifest(manifest.version(), heartbeat.manifestVersion());
        } else if (message instanceof Message.ManifestRequest request) {
            if (manifest.version() > request.newerThanVersion()) {
                entry.send(new ManifestDocument(manifest.version(), manifest.document()));
            }
        } else if (message instanceof Message.InstanceListingRequest request) {
            instanceListing.respond(entry, request);
        } else if (message instanceof Message.InstanceListingDocument document) {
            instanceListing.update(document);
        } else if (message instanceof Message.OutcomeQuery query) {
            workHandler.query(entry, query);
        } else {
            handleWorkMessage(entry, message);
        }
    }

    private void handleWorkMessage(EntryConnection entry, Message message) {
        if (message instanceof Message.Offer offer && isOwnAttempt(entry, offer.attemptId())) {
            entry.requestManifest(manifest.version(), offer.manifestVersion());
            workHandler.offer(entry, offer);
        } else if (message instanceof Message.Dispatch dispatch
                && isOwnAttempt(entry, dispatch.offer().attemptId())) {
            entry.requestManifest(manifest.version(), dispatch.offer().manifestVersion());
            workHandler.dispatch(entry, dispatch);
        } else if (message instanceof Message.Commit commit
                && isOwnAttempt(entry, commit.attemptId())) {
            workHandler.commit(entry, commit);
        } else if (message instanceof Message.Cancel cancel
                && isOwnAttempt(entry, cancel.attemptId())) {
            workHandler.cancel(cancel.attemptId());
        } else {
            String name = message.getClass().getSimpleName();
            events.protocolViolated(
                    entry.peer(), "unexpected message or attempt of another entry: " + name);
            entry.connection().close();
        }
    }

    private static boolean isOwnAttempt(EntryConnection entry, AttemptId id) {
        return id.entryIncarnation() == entry.peer().incarnation();
    }

    /** Passes the events of one connection to the executor. */
    private final class EntryListener implements Connection.Listener {
        private volatile EntryConnection entry;

        @Override
        public void onOpen(Connection connection, Peer peer) {
            EntryConnection opened = new EntryConnection(connection, peer);
            entry = opened;
            executor.execute(
                    () -> {
                        events.entryConnected(peer);
                        workHandler.renewLease(peer.incarnation());
                        connections.add(opened);
                    });
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            EntryConnection sender = entry;
            if (message instanceof ManifestDocument document) {
                readManifest(document);
            } else {
                executor.execute(() -> handle(sender, message));
            }
        }

        @Override
        public void onClose(Connection connection, String reason) {
            EntryConnection closedEntry = entry;
            if (closedEntry == null) {
                return;
            }
            executor.execute(
                    () -> {
                        events.entryDisconnected(closedEntry.peer(), reason);
                        connections.remove(closedEntry);
                        workHandler.connectionClosed(closedEntry);
                    });
        }

        /**
         * Reads a manifest on the connection's thread, since a large one would delay work on the
         * executor.
         */
        private void readManifest(ManifestDocument message) {
            Either<String, PoolLimits> limits = manifestLimits.read(message.document());
            if (limits.isLeft()) {
                events.manifestRejected(message.version(), limits.getLeft());
                return;
            }
            CachedManifest newer =
                    new CachedManifest(message.version(), message.document(), limits.get());
            executor.execute(() -> applyManifest(newer));
        }
    }
}
