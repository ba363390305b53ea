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
 * Stands beside one backend server and is the only door to it.
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
 * <p>It takes no work before its backend server has told what it holds, all of that is released,
 * and an entry has handed over a manifest. Offers are refused while it drains and while the backend
 * server does not answer. Thread-safe; all state belongs to the given executor, which must run one
 * task at a time and in order.
 */
public final class Sidecar implements AutoCloseable {

    private static final long ROSTER_TICK_MILLIS = 1_000;

    private final SidecarSettings settings;
    private final FrameServer frameServer;
    private final BackendDriver driver;
    private final TimerService timer;
    private final Executor executor;
    private final ManifestLimits manifestLimits;
    private final SidecarEvents events;
    private final EntryConnections links;
    private final WorkHandler desk;
    private final List<TimerService.Subscription> subscriptions = new ArrayList<>();
    private final InstanceListingCache roster = new InstanceListingCache();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean closed;
    private CachedManifest manifest = CachedManifest.NONE;
    private boolean reconciled;
    private boolean reconciling;
    private boolean backendSilent;
    private boolean draining;
    private long lastTickMillis;

    /**
     * Creates a sidecar that does nothing before {@link #start}.
     *
     * @param settings names, times and bounds
     * @param frameServer takes the connections of entries
     * @param driver runs work at the backend server
     * @param timer gives time
     * @param executor runs one task at a time, in order
     * @param manifestLimits finds the limits of this backend server
     * @param events hears what operators may want to know
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
        this.links =
                new EntryConnections(
                        timer, this.executor, settings.reportGapMillis(), this::loadReport);
        this.desk =
                new WorkHandler(
                        settings,
                        driver,
                        timer,
                        this.executor,
                        events,
                        links::reportChange,
                        this::leaseLapsed);
    }

    /**
     * Starts to take connections.
     *
     * @return the address in use
     * @throws IOException if the address cannot be bound
     */
    public InetSocketAddress start() throws IOException {
        lastTickMillis = timer.nowMillis();
        InetSocketAddress address = frameServer.listen(settings.listenAddress(), LinkListener::new);
        every(settings.tickMillis(), this::tick);
        every(settings.heartbeatMillis(), links::beat);
        every(settings.reconcileMillis(), this::reconcile);
        every(ROSTER_TICK_MILLIS, () -> roster.tick(links.all()));
        executor.execute(this::reconcile);
        events.started(address);
        return address;
    }

    /**
     * Refuses new work, lets all work in flight end, then closes all connections.
     *
     * @return done when all of that is over
     */
    public CompletableFuture<Void> drain() {
        executor.execute(
                () -> {
                    if (!draining) {
                        draining = true;
                        events.drainStarted();
                        desk.drain();
                    }
                });
        return drained;
    }

    /** Ends at once; prefer {@link #drain}. */
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

    private void every(long periodMillis, Runnable task) {
        subscriptions.add(timer.every(periodMillis, () -> executor.execute(task)));
    }

    private LoadReport loadReport() {
        LedgerSnapshot counts = desk.counts();
        return new LoadReport(
                manifest.version(),
                counts.draining(),
                counts.freeSlots(),
                counts.freePieces(),
                counts.queuedTokens(),
                desk.linkBacklogBytes());
    }

    private void tick() {
        long nowMillis = timer.nowMillis();
        boolean paused = nowMillis - lastTickMillis > settings.terms().leaseMillis() / 2;
        lastTickMillis = nowMillis;
        if (paused) {
            // After a pause of this process, heartbeats may wait behind this tick.
            links.all().forEach(link -> desk.renewLease(link.peer().incarnation()));
        }
        desk.tick();
        if (draining && desk.counts().liveReservations() == 0 && links.areFlushed()) {
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
        if (reconciling) {
            return;
        }
        reconciling = true;
        Set<String> known = desk.knownRequests();
        driver.heldRequests()
                .thenAccept(held -> executor.execute(() -> releaseOrphans(held, known)));
    }

    private void releaseOrphans(Either<String, List<String>> held, Set<String> known) {
        if (held.isLeft()) {
            reconciling = false;
            if (!backendSilent) {
                events.backendUnreachable(held.getLeft());
            }
            backendSilent = true;
            desk.suspend(true);
            return;
        }
        backendSilent = false;
        desk.releaseOrphans(held.get(), known).thenRun(() -> executor.execute(this::reconciled));
    }

    private void reconciled() {
        reconciling = false;
        desk.suspend(false);
        if (!reconciled) {
            reconciled = true;
            desk.applyLimits(manifest);
        }
    }

    private void leaseLapsed(long entryIncarnation) {
        events.leaseLapsed(entryIncarnation);
        links.closeAllOf(entryIncarnation);
    }

    private void take(CachedManifest newer) {
        if (!VersionGuard.shouldApply(manifest.version(), newer.version())) {
            return;
        }
        manifest = newer;
        if (reconciled) {
            desk.applyLimits(manifest);
        }
        links.reportChange();
    }

    private void handle(EntryConnection link, Message message) {
        desk.renewLease(link.peer().incarnation());
        if (message instanceof Message.Heartbeat heartbeat) {
            link.askForManifest(manifest.version(), heartbeat.manifestVersion());
        } else if (message instanceof Message.ManifestRequest request) {
            if (manifest.version() > request.newerThanVersion()) {
                link.send(new ManifestDocument(manifest.version(), manifest.document()));
            }
        } else if (message instanceof Message.InstanceListingRequest request) {
            roster.answer(link, request);
        } else if (message instanceof Message.InstanceListingDocument document) {
            roster.take(document);
        } else if (message instanceof Message.OutcomeQuery query) {
            desk.query(link, query);
        } else {
            handleOwnWork(link, message);
        }
    }

    private void handleOwnWork(EntryConnection link, Message message) {
        if (message instanceof Message.Offer offer && isOwn(link, offer.attemptId())) {
            link.askForManifest(manifest.version(), offer.manifestVersion());
            desk.offer(link, offer);
        } else if (message instanceof Message.Dispatch dispatch
                && isOwn(link, dispatch.offer().attemptId())) {
            link.askForManifest(manifest.version(), dispatch.offer().manifestVersion());
            desk.dispatch(link, dispatch);
        } else if (message instanceof Message.Commit commit && isOwn(link, commit.attemptId())) {
            desk.commit(link, commit);
        } else if (message instanceof Message.Cancel cancel && isOwn(link, cancel.attemptId())) {
            desk.cancel(cancel.attemptId());
        } else {
            String name = message.getClass().getSimpleName();
            events.protocolViolated(link.peer(), "unexpected or foreign " + name);
            link.connection().close();
        }
    }

    private static boolean isOwn(EntryConnection link, AttemptId id) {
        return id.entryIncarnation() == link.peer().incarnation();
    }

    /** Brings what happens on one connection to the executor. */
    private final class LinkListener implements Connection.Listener {
        private volatile EntryConnection link;

        @Override
        public void onOpen(Connection connection, Peer peer) {
            EntryConnection opened = new EntryConnection(connection, peer);
            link = opened;
            executor.execute(
                    () -> {
                        events.entryConnected(peer);
                        desk.renewLease(peer.incarnation());
                        links.add(opened);
                    });
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            EntryConnection sender = link;
            if (message instanceof ManifestDocument document) {
                read(document);
            } else {
                executor.execute(() -> handle(sender, message));
            }
        }

        @Override
        public void onClose(Connection connection, String reason) {
            EntryConnection gone = link;
            if (gone == null) {
                return;
            }
            executor.execute(
                    () -> {
                        events.entryDisconnected(gone.peer(), reason);
                        links.remove(gone);
                        desk.linkClosed(gone);
                    });
        }

        /** Reads a manifest on the connection's thread, since a large one would hold up work. */
        private void read(ManifestDocument message) {
            Either<String, PoolLimits> limits = manifestLimits.read(message.document());
            if (limits.isLeft()) {
                events.manifestRejected(message.version(), limits.getLeft());
                return;
            }
            CachedManifest newer =
                    new CachedManifest(message.version(), message.document(), limits.get());
            executor.execute(() -> take(newer));
        }
    }
}
