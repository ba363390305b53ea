package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.SidecarConnection.ConnectionTimings;
import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.platform.InstanceListing;
import dev.foxtailshed.daemon.internal.platform.ObjectStore;
import dev.foxtailshed.daemon.internal.platform.PlatformInstance;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.manifest.BackendServer;
import dev.foxtailshed.kernel.manifest.Manifest;
import dev.foxtailshed.kernel.routing.ServerView;
import dev.foxtailshed.wire.FrameClient;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the connections to the sidecars in the manifest and in the platform's instance list.
 *
 * <p>The request path reads one immutable map, which is copied on each change. A server that has
 * disappeared from the instance list stays while its connection is open, since the list can be
 * stale or unavailable. Thread-safe.
 */
final class SidecarRegistry {

    private static final String SIDECAR_ROLE = "sidecar";

    private final FrameClient client;
    private final TimerService timer;
    private final ManifestHolder manifests;
    private final ObjectStore store;
    private final ConnectionTimings timings;
    private final AtomicReference<Map<String, SidecarConnection>> connections =
            new AtomicReference<>(Map.of());
    private final List<Runnable> subscribers = new CopyOnWriteArrayList<>();
    private final AtomicReference<InstanceListing> instanceListing =
            new AtomicReference<>(InstanceListing.NONE);
    private volatile boolean platformUnavailable;

    SidecarRegistry(
            FrameClient client,
            TimerService timer,
            ManifestHolder manifests,
            ObjectStore store,
            ConnectionTimings timings) {
        this.client = client;
        this.timer = timer;
        this.manifests = manifests;
        this.store = store;
        this.timings = timings;
    }

    /** Starts to poll the platform's instance list and to send heartbeats. */
    void start(long listPeriodMillis) {
        manifests.subscribe(manifest -> reconcile());
        refreshList();
        timer.every(listPeriodMillis, this::refreshList);
        timer.every(
                timings.heartbeatMillis(),
                () -> connections.get().values().forEach(SidecarConnection::sendHeartbeat));
    }

    /** Adds a subscriber that runs after each change of a server's load or connection. */
    void subscribe(Runnable subscriber) {
        subscribers.add(subscriber);
    }

    Optional<SidecarConnection> connection(String serverName) {
        return Optional.ofNullable(connections.get().get(serverName));
    }

    /** Returns the instances of the latest instance list. */
    List<PlatformInstance> instances() {
        return instanceListing.get().instances();
    }

    InstanceListing instanceListing() {
        return instanceListing.get();
    }

    /** Adopts a newer list that another entry has read, unless the platform itself responds. */
    void offerInstanceList(InstanceListing offered) {
        if (platformUnavailable
                && offered.asOfEpochMillis() > instanceListing.get().asOfEpochMillis()) {
            instanceListing.set(offered);
            reconcile();
        }
    }

    /**
     * Adds a sidecar that answered at the given address, unless a list has been read or the
     * platform responds.
     */
    void offerSeed(String serverName, InetSocketAddress address) {
        InstanceListing known = instanceListing.get();
        boolean isNew = known.instances().stream().noneMatch(i -> i.name().equals(serverName));
        if (platformUnavailable && known.asOfEpochMillis() == 0 && isNew) {
            List<PlatformInstance> instances = new ArrayList<>(known.instances());
            instances.add(new PlatformInstance(serverName, SIDECAR_ROLE, "", address, false));
            instanceListing.compareAndSet(known, new InstanceListing(0, instances));
            reconcile();
        }
    }

    List<SidecarConnection> connections() {
        return List.copyOf(connections.get().values());
    }

    List<ServerView> views(List<BackendServer> servers) {
        Map<String, SidecarConnection> snapshot = connections.get();
        List<ServerView> views = new ArrayList<>(servers.size());
        for (BackendServer server : servers) {
            SidecarConnection connection = snapshot.get(server.name());
            if (connection != null) {
                views.add(connection.view());
            }
        }
        return views;
    }

    void close() {
        connections.getAndSet(Map.of()).values().forEach(SidecarConnection::close);
    }

    private void refreshList() {
        store.instances()
                .thenAccept(
                        either -> {
                            platformUnavailable = either.isLeft();
                            if (either.isRight()) {
                                long nowMillis = System.currentTimeMillis();
                                instanceListing.updateAndGet(
                                        old -> old.updatedWith(either.get(), nowMillis));
                                reconcile();
                            } else {
                                connections.get().values().stream()
                                        .filter(SidecarConnection::isConnected)
                                        .findAny()
                                        .ifPresent(SidecarConnection::requestInstanceList);
                            }
                        });
    }

    private synchronized void reconcile() {
        Optional<Manifest> manifest = manifests.inForce().manifest();
        if (manifest.isEmpty()) {
            return;
        }
        Map<String, SidecarConnection> next = new HashMap<>(connections.get());
        for (PlatformInstance instance : instances()) {
            Optional<BackendServer> server = manifest.get().server(instance.name());
            if (instance.role().equals(SIDECAR_ROLE) && server.isPresent()) {
                addOrUpdate(next, instance, server.get());
            }
        }
        retireUnknown(next, manifest.get());
        connections.set(Map.copyOf(next));
    }

    private void addOrUpdate(
            Map<String, SidecarConnection> next, PlatformInstance instance, BackendServer server) {
        SidecarConnection known = next.get(server.name());
        if (known == null) {
            known =
                    new SidecarConnection(
                            server.name(),
                            server.zone(),
                            instance.address(),
                            client,
                            timer,
                            manifests,
                            this,
                            timings,
                            this::notifySubscribers);
            next.put(server.name(), known);
            known.open();
        }
        known.update(instance.address(), instance.leaving());
    }

    private static void retireUnknown(Map<String, SidecarConnection> next, Manifest manifest) {
        next.values().removeIf(SidecarConnection::isClosed);
        next.values().stream()
                .filter(connection -> manifest.server(connection.serverName()).isEmpty())
                .forEach(SidecarConnection::retire);
    }

    private void notifySubscribers() {
        subscribers.forEach(Runnable::run);
    }
}
