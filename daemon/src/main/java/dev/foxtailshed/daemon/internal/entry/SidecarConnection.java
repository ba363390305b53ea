package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.manifest.AppliedManifest;
import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.platform.InstanceListing;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.routing.ServerView;
import dev.foxtailshed.kernel.routing.TransferLinkTracker;
import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.FrameClient;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.WorkKind;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The entry's connection to one sidecar, reopened whenever it is lost.
 *
 * <p>Attempts register a handler under their id. When the connection closes, or is closed because
 * nothing was received for longer than the lease, all handlers are notified. Thread-safe.
 */
final class SidecarConnection {

    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAXIMUM_BACKOFF_MILLIS = 2_000;

    private final String serverName;
    private final String zone;
    private final FrameClient client;
    private final TimerService timer;
    private final ManifestHolder manifests;
    private final SidecarRegistry sidecars;
    private final ConnectionTimings timings;
    private final Runnable onChange;
    private final Map<AttemptId, AttemptHandler> handlers = new ConcurrentHashMap<>();
    private final AtomicInteger offersSinceReport = new AtomicInteger();
    private final AtomicInteger piecesSinceReport = new AtomicInteger();
    private final TransferLinkTracker transferLink = new TransferLinkTracker();
    private final AtomicLong promptTokensSinceReport = new AtomicLong();
    private final AtomicLong lastMessageMillis = new AtomicLong();
    private volatile InetSocketAddress address;
    private volatile boolean leaving;
    private volatile boolean retired;
    private volatile boolean closed;
    private volatile Optional<Session> session = Optional.empty();
    private volatile Optional<Message.LoadReport> report = Optional.empty();
    private volatile long versionSinceEpochMillis;
    private volatile long lastIncarnation;
    private volatile long backoffMillis = FIRST_BACKOFF_MILLIS;

    /** An open connection and the incarnation of its peer. */
    record Session(Connection connection, long incarnation) {}

    /**
     * The timing of a connection.
     *
     * @param heartbeatMillis the interval between two heartbeats
     * @param leaseMillis the time without a message after which a connection counts as lost
     */
    record ConnectionTimings(long heartbeatMillis, long leaseMillis) {}

    SidecarConnection(
            String serverName,
            String zone,
            InetSocketAddress address,
            FrameClient client,
            TimerService timer,
            ManifestHolder manifests,
            SidecarRegistry sidecars,
            ConnectionTimings timings,
            Runnable onChange) {
        this.serverName = serverName;
        this.zone = zone;
        this.address = address;
        this.client = client;
        this.timer = timer;
        this.manifests = manifests;
        this.sidecars = sidecars;
        this.timings = timings;
        this.onChange = onChange;
    }

    void open() {
        if (!closed) {
            client.connect(address, new ConnectionListener(address));
        }
    }

    void close() {
        closed = true;
        session.ifPresent(open -> open.connection().close());
    }

    /** Closes this connection as soon as no attempt uses it; until then no new attempt is sent. */
    void retire() {
        retired = true;
    }

    boolean isClosed() {
        return closed;
    }

    /** Applies an update from the instance list; a changed address closes the old connection. */
    void update(InetSocketAddress newAddress, boolean nowLeaving) {
        retired = false;
        leaving = nowLeaving;
        if (!address.equals(newAddress)) {
            address = newAddress;
            session.ifPresent(open -> open.connection().close());
        }
    }

    String serverName() {
        return serverName;
    }

    Optional<Long> incarnation() {
        return session.map(Session::incarnation);
    }

    Optional<Message.LoadReport> report() {
        return report;
    }

    /**
     * Returns when this entry first received a report of the manifest version that the sidecar
     * applies.
     */
    long versionSinceEpochMillis() {
        return versionSinceEpochMillis;
    }

    TransferLinkTracker transferLink() {
        return transferLink;
    }

    boolean isLeaving() {
        return leaving || retired || report.map(Message.LoadReport::draining).orElse(false);
    }

    boolean isConnected() {
        return session.isPresent();
    }

    ServerView view() {
        boolean available = session.isPresent() && report.isPresent() && !isLeaving();
        Message.LoadReport last = report.orElse(new Message.LoadReport(0, false, 0, 0, 0, 0));
        return new ServerView(
                serverName,
                zone,
                available,
                last.freeSlots() - offersSinceReport.get(),
                last.freePieces() - piecesSinceReport.get(),
                last.queuedTokens() + promptTokensSinceReport.get(),
                last.linkBacklogBytes() + transferLink.reservedBytes(),
                transferLink.slowdown(timer.nowMillis()));
    }

    /**
     * Registers the handler of an attempt and sends its first message; returns false if that fails.
     */
    boolean registerAndSend(Message.Offer offer, AttemptHandler handler, Message first) {
        AttemptId id = offer.attemptId();
        handlers.put(id, handler);
        offersSinceReport.incrementAndGet();
        piecesSinceReport.addAndGet(offer.pieces());
        if (offer.kind() == WorkKind.PREFILL) {
            promptTokensSinceReport.addAndGet(offer.promptTokens());
        }
        if (send(first)) {
            return true;
        }
        handlers.remove(id);
        return false;
    }

    /** Registers a handler without sending a message, to query an outcome after a reconnect. */
    void register(AttemptId id, AttemptHandler handler) {
        handlers.put(id, handler);
    }

    boolean send(Message message) {
        Optional<Session> open = session;
        return open.isPresent() && open.get().connection().send(message);
    }

    void unregister(AttemptId id) {
        handlers.remove(id);
    }

    /** Sends a heartbeat, or closes a connection whose lease has expired. */
    void sendHeartbeat() {
        if (retired && handlers.isEmpty()) {
            close();
        }
        Optional<Session> open = session;
        if (open.isEmpty()) {
            return;
        }
        if (timer.nowMillis() - lastMessageMillis.get() > timings.leaseMillis()) {
            open.get().connection().close();
            return;
        }
        open.get().connection().send(new Message.Heartbeat(manifests.version()));
    }

    void requestInstanceList() {
        send(new Message.InstanceListingRequest(sidecars.instanceListing().asOfEpochMillis()));
    }

    private void onMessage(Connection connection, Message message) {
        lastMessageMillis.set(timer.nowMillis());
        if (message instanceof Message.LoadReport load) {
            onReport(connection, load);
        } else if (message instanceof Message.Heartbeat heartbeat) {
            requestIfNewer(connection, heartbeat.manifestVersion());
        } else if (message instanceof Message.ManifestRequest request) {
            sendManifest(connection, request);
        } else if (message instanceof Message.ManifestDocument document) {
            manifests.applyIfNewer(document.version(), document.document());
        } else if (message instanceof Message.InstanceListingRequest request) {
            sendInstanceList(connection, request);
        } else if (message instanceof Message.InstanceListingDocument document) {
            InstanceListing.parse(document.asOfEpochMillis(), document.document())
                    .ifPresent(sidecars::offerInstanceList);
        } else {
            AttemptMessages.attemptIdOf(message)
                    .map(handlers::get)
                    .ifPresent(handler -> handler.onMessage(message));
        }
    }

    private void onReport(Connection connection, Message.LoadReport load) {
        long known = report.map(Message.LoadReport::manifestVersion).orElse(0L);
        if (known != load.manifestVersion()) {
            versionSinceEpochMillis = System.currentTimeMillis();
        }
        report = Optional.of(load);
        offersSinceReport.set(0);
        piecesSinceReport.set(0);
        promptTokensSinceReport.set(0);
        requestIfNewer(connection, load.manifestVersion());
        onChange.run();
    }

    private void requestIfNewer(Connection connection, long version) {
        if (version > manifests.version()) {
            connection.send(new Message.ManifestRequest(manifests.version()));
        }
    }

    private void sendManifest(Connection connection, Message.ManifestRequest request) {
        AppliedManifest applied = manifests.applied();
        if (applied.version() > request.newerThanVersion()) {
            connection.send(new Message.ManifestDocument(applied.version(), applied.document()));
        }
    }

    private void sendInstanceList(Connection connection, Message.InstanceListingRequest request) {
        InstanceListing instanceListing = sidecars.instanceListing();
        if (instanceListing.asOfEpochMillis() > request.newerThanEpochMillis()) {
            connection.send(
                    new Message.InstanceListingDocument(
                            instanceListing.asOfEpochMillis(), instanceListing.toBytes()));
        }
    }

    private void onOpened(Connection connection, long incarnation) {
        lastMessageMillis.set(timer.nowMillis());
        backoffMillis = FIRST_BACKOFF_MILLIS;
        boolean restarted = lastIncarnation != 0 && lastIncarnation != incarnation;
        EventCode code = restarted ? EventCode.SIDECAR_RESTARTED : EventCode.LINK_OPENED;
        EventLog.log(code, Field.of("server", serverName), Field.of("address", address));
        lastIncarnation = incarnation;
        session = Optional.of(new Session(connection, incarnation));
        connection.send(new Message.Heartbeat(manifests.version()));
        onChange.run();
    }

    private void onClosed(String reason) {
        boolean wasOpen = session.isPresent();
        session = Optional.empty();
        report = Optional.empty();
        if (wasOpen && !closed) {
            EventLog.log(
                    EventCode.LINK_CLOSED,
                    Field.of("server", serverName),
                    Field.of("reason", reason));
        }
        handlers.values().forEach(AttemptHandler::onConnectionLost);
        onChange.run();
        if (!closed) {
            // Jitter keeps the entries from reconnecting all at once after a restart of the
            // sidecar.
            long jitterMillis = ThreadLocalRandom.current().nextLong(backoffMillis);
            timer.once(backoffMillis / 2 + jitterMillis, this::open);
            backoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, backoffMillis * 2);
        }
    }

    private final class ConnectionListener implements Connection.Listener {
        private final InetSocketAddress connectedTo;

        ConnectionListener(InetSocketAddress connectedTo) {
            this.connectedTo = connectedTo;
        }

        @Override
        public void onOpen(Connection connection, Connection.Peer peer) {
            if (peer.name().equals(serverName) && connectedTo.equals(address)) {
                onOpened(connection, peer.incarnation());
            } else {
                // Another instance now has the address, or the server has another address.
                connection.close();
            }
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            SidecarConnection.this.onMessage(connection, message);
        }

        @Override
        public void onClose(Connection connection, String reason) {
            onClosed(reason);
        }
    }
}
