package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.SidecarConnection.LinkTimes;
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
 * The sidecars that this entry knows, from the manifest and the platform's list of instances.
 *
 * <p>The request path reads one immutable map; changes copy it. A server that the platform's list
 * no longer shows keeps its link while its connection lives, since the list lags and has outages.
 * Thread-safe.
 */
final class SidecarRegistry {

    private static final String SIDECAR_ROLE = "sidecar";

    private final FrameClient client;
    private final TimerService timer;
    private final ManifestHolder manifests;
    private final ObjectStore store;
    private final LinkTimes times;
    private final AtomicReference<Map<String, SidecarConnection>> links =
            new AtomicReference<>(Map.of());
    private final List<Runnable> subscribers = new CopyOnWriteArrayList<>();
    private final AtomicReference<InstanceListing> roster =
            new AtomicReference<>(InstanceListing.NONE);
    private volatile boolean platformSilent;

    SidecarRegistry(
            FrameClient client,
            TimerService timer,
            ManifestHolder manifests,
            ObjectStore store,
            LinkTimes times) {
        this.client = client;
        this.timer = timer;
        this.manifests = manifests;
        this.store = store;
        this.times = times;
    }

    /** Begins to follow the platform's list and to send heartbeats. */
    void start(long listPeriodMillis) {
        manifests.subscribe(manifest -> reconcile());
        refreshList();
        timer.every(listPeriodMillis, this::refreshList);
        timer.every(
                times.heartbeatMillis(),
                () -> links.get().values().forEach(SidecarConnection::beat));
    }

    /** Adds a subscriber that hears when any server's load or connection has changed. */
    void subscribe(Runnable subscriber) {
        subscribers.add(subscriber);
    }

    Optional<SidecarConnection> link(String serverName) {
        return Optional.ofNullable(links.get().get(serverName));
    }

    /** Returns the platform's list as last read. */
    List<PlatformInstance> instances() {
        return roster.get().instances();
    }

    InstanceListing roster() {
        return roster.get();
    }

    /** Takes a list that another entry read; the platform's own goes before it. */
    void offerRoster(InstanceListing offered) {
        if (platformSilent && offered.asOfEpochMillis() > roster.get().asOfEpochMillis()) {
            roster.set(offered);
            reconcile();
        }
    }

    /** Takes a sidecar that answered under an address, until a list tells more. */
    void offerSeed(String serverName, InetSocketAddress address) {
        InstanceListing known = roster.get();
        boolean isNew = known.instances().stream().noneMatch(i -> i.name().equals(serverName));
        if (platformSilent && known.asOfEpochMillis() == 0 && isNew) {
            List<PlatformInstance> instances = new ArrayList<>(known.instances());
            instances.add(new PlatformInstance(serverName, SIDECAR_ROLE, "", address, false));
            roster.compareAndSet(known, new InstanceListing(0, instances));
            reconcile();
        }
    }

    List<SidecarConnection> links() {
        return List.copyOf(links.get().values());
    }

    List<ServerView> views(List<BackendServer> servers) {
        Map<String, SidecarConnection> snapshot = links.get();
        List<ServerView> views = new ArrayList<>(servers.size());
        for (BackendServer server : servers) {
            SidecarConnection link = snapshot.get(server.name());
            if (link != null) {
                views.add(link.view());
            }
        }
        return views;
    }

    void close() {
        links.getAndSet(Map.of()).values().forEach(SidecarConnection::close);
    }

    private void refreshList() {
        store.instances()
                .thenAccept(
                        either -> {
                            platformSilent = either.isLeft();
                            if (either.isRight()) {
                                long nowMillis = System.currentTimeMillis();
                                roster.updateAndGet(old -> old.afterRead(either.get(), nowMillis));
                                reconcile();
                            } else {
                                links.get().values().stream()
                                        .filter(SidecarConnection::isConnected)
                                        .findAny()
                                        .ifPresent(SidecarConnection::askForRoster);
                            }
                        });
    }

    private synchronized void reconcile() {
        Optional<Manifest> manifest = manifests.inForce().manifest();
        if (manifest.isEmpty()) {
            return;
        }
        Map<String, SidecarConnection> next = new HashMap<>(links.get());
        for (PlatformInstance instance : instances()) {
            Optional<BackendServer> server = manifest.get().server(instance.name());
            if (instance.role().equals(SIDECAR_ROLE) && server.isPresent()) {
                adopt(next, instance, server.get());
            }
        }
        retireUnknown(next, manifest.get());
        links.set(Map.copyOf(next));
    }

    private void adopt(
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
                            times,
                            this::changed);
            next.put(server.name(), known);
            known.open();
        }
        known.update(instance.address(), instance.leaving());
    }

    private static void retireUnknown(Map<String, SidecarConnection> next, Manifest manifest) {
        next.values().removeIf(SidecarConnection::isClosed);
        next.values().stream()
                .filter(link -> manifest.server(link.serverName()).isEmpty())
                .forEach(SidecarConnection::retire);
    }

    private void changed() {
        subscribers.forEach(Runnable::run);
    }
}
