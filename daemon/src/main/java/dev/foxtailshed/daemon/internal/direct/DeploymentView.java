package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.HostingPlatform;
import dev.foxtailshed.daemon.hosting.SharedStore;
import dev.foxtailshed.daemon.hosting.SharedStore.Change;
import dev.foxtailshed.daemon.hosting.StoreCollection;
import dev.foxtailshed.daemon.hosting.StoreEntry;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.RouteTable;
import dev.foxtailshed.kernel.direct.ServerDirectory;
import dev.foxtailshed.kernel.direct.ServerDirectory.Registration;
import dev.foxtailshed.kernel.direct.StorePosition;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleSupplier;

/**
 * This entry's view of the deployment: the current routes and servers, kept up to date from the
 * store.
 *
 * <p>Changes are applied on the executor; any thread may read the immutable snapshots. Within a
 * process, the version of the routes never decreases.
 */
final class DeploymentView {

    /** Period of the check for servers whose entries have not come back after a store outage. */
    private static final long EXPIRY_PERIOD_MILLIS = 100;

    /** Entries that are asked for the routes in force, as some of them may not run. */
    private static final int PEERS_TO_ASK = 3;

    /** Problems of one configuration that are logged; the number of all is in each event. */
    private static final int LOGGED_PROBLEMS = 50;

    private final HostingPlatform platform;
    private final TimerService timer;
    private final Executor executor;
    private final ServerDirectory directory = new ServerDirectory();
    private final AtomicReference<RouteTable> routes = new AtomicReference<>();
    private final AtomicReference<ServerCatalog> servers =
            new AtomicReference<>(ServerCatalog.EMPTY);
    private final List<Runnable> subscribers = new ArrayList<>();
    private final PeerExchange peers;
    private final AtomicReference<StoreEntry> routesEntry = new AtomicReference<>();
    private final CollectionWatcher routeWatcher;
    private final CollectionWatcher serverWatcher;
    private volatile boolean serversListed;

    /** Where the newest routes that cannot be read at all are; no position if there are none. */
    private volatile Optional<StorePosition> unreadableRoutes = Optional.empty();

    DeploymentView(
            HostingPlatform platform,
            SharedStore store,
            TimerService timer,
            Executor executor,
            DoubleSupplier random,
            PeerExchange peers) {
        this.platform = platform;
        this.timer = timer;
        this.executor = executor;
        this.peers = peers;
        routeWatcher =
                new CollectionWatcher(
                        store,
                        StoreCollection.ROUTES,
                        new RouteListener(),
                        timer,
                        executor,
                        random,
                        peers);
        serverWatcher =
                new CollectionWatcher(
                        store,
                        StoreCollection.SERVERS,
                        new ServerListener(),
                        timer,
                        executor,
                        random,
                        peers);
    }

    void start() {
        routeWatcher.start();
        serverWatcher.start();
        timer.every(EXPIRY_PERIOD_MILLIS, () -> executor.execute(this::expireMissing));
    }

    void close() {
        routeWatcher.close();
        serverWatcher.close();
    }

    /** Adds a callback that runs on the executor after each change of routes or servers. */
    void subscribe(Runnable subscriber) {
        subscribers.add(subscriber);
    }

    Optional<RouteTable> routes() {
        return Optional.ofNullable(routes.get());
    }

    ServerCatalog servers() {
        return servers.get();
    }

    boolean isComplete() {
        return routes.get() != null && serversListed;
    }

    /**
     * Records that a response of a server says that it is leaving. Runs on the executor.
     *
     * @param server the server
     * @param source what the response belongs to, for the log
     */
    void recordLeaving(DirectServer server, String source) {
        if (!directory.markLeaving(server.incarnation())) {
            return;
        }
        ServerCatalog known = servers.get();
        EventLog.log(
                EventCode.SERVER_SAID_LEAVING,
                Field.of("server", server.id()),
                Field.of("service", server.service()),
                Field.of("source", source),
                Field.of("serversAgeMillis", timer.nowMillis() - known.readMillis()));
        publishServers(known.position(), known.readMillis());
    }

    private void applyRoutes(StoreEntry entry) {
        if (!entry.name().equals(platform.routesEntryName())) {
            return;
        }
        Either<String, RouteTable> read = platform.parseRoutes(entry);
        recordReadability(entry.position(), read.isRight());
        if (read.isLeft()) {
            EventLog.log(
                    EventCode.ROUTES_UNREADABLE,
                    Field.of("entry", entry.name()),
                    Field.of("position", entry.position()),
                    Field.of("cause", read.getLeft()));
            return;
        }
        RouteTable before = routes.get();
        if (before != null && before.version().compareTo(read.get().version()) >= 0) {
            return;
        }
        routes.set(read.get());
        routesEntry.set(entry);
        EventLog.log(
                EventCode.ROUTES_APPLIED,
                Field.of("version", read.get().version()),
                Field.of("position", entry.position()),
                Field.of("routes", read.get().routes().size()));
        logProblems(EventCode.ROUTES_PART_UNUSABLE, entry, read.get().unusable().problems());
        read.get()
                .workspaces()
                .ifPresent(
                        workspaces ->
                                logProblems(
                                        EventCode.WORKSPACES_UNREADABLE,
                                        entry,
                                        workspaces.problems()));
        subscribers.forEach(Runnable::run);
    }

    /** Records whether routes can be read; older ones, as of another entry, say nothing. */
    private void recordReadability(StorePosition position, boolean readable) {
        if (unreadableRoutes.filter(known -> position.compareTo(known) < 0).isEmpty()) {
            unreadableRoutes = readable ? Optional.empty() : Optional.of(position);
        }
    }

    private static void logProblems(EventCode code, StoreEntry entry, List<String> problems) {
        for (String problem : problems.subList(0, Math.min(problems.size(), LOGGED_PROBLEMS))) {
            EventLog.log(
                    code,
                    Field.of("entry", entry.name()),
                    Field.of("position", entry.position()),
                    Field.of("problems", problems.size()),
                    Field.of("cause", problem));
        }
    }

    /**
     * Returns how many parts of the newest routing configuration are not in force; a configuration
     * that cannot be read at all counts as one part.
     */
    int unusableParts() {
        int parts = unreadableRoutes.isPresent() ? 1 : 0;
        RouteTable table = routes.get();
        if (table != null) {
            parts += table.unusable().problems().size();
            parts += table.workspaces().map(all -> all.problems().size()).orElse(0);
        }
        return parts;
    }

    private Optional<Registration> parseServer(StoreEntry entry) {
        Either<String, DirectServer> read = platform.parseServer(entry);
        if (read.isLeft()) {
            EventLog.log(
                    EventCode.STORE_ENTRY_UNREADABLE,
                    Field.of("collection", StoreCollection.SERVERS),
                    Field.of("entry", entry.name()),
                    Field.of("cause", read.getLeft()));
        }
        return read.toJavaOptional().map(server -> new Registration(server, entry.position()));
    }

    private void publishServers(StorePosition position) {
        publishServers(position, timer.nowMillis());
    }

    private void publishServers(StorePosition position, long readMillis) {
        List<DirectServer> before = servers.get().all();
        servers.set(
                ServerCatalog.of(position, readMillis, directory.usable(), directory.draining()));
        List<DirectServer> after = servers.get().all();
        if (!after.equals(before)) {
            logChanges(before, after, position);
            subscribers.forEach(Runnable::run);
        }
    }

    private static void logChanges(
            List<DirectServer> before, List<DirectServer> after, StorePosition position) {
        for (DirectServer server : after) {
            if (!before.contains(server)) {
                logServer(EventCode.SERVER_USABLE, server, position);
            }
        }
        for (DirectServer server : before) {
            if (after.stream().noneMatch(s -> s.incarnation().equals(server.incarnation()))) {
                logServer(EventCode.SERVER_LEFT, server, position);
            }
        }
    }

    private static void logServer(EventCode code, DirectServer server, StorePosition position) {
        EventLog.log(
                code,
                Field.of("server", server.id()),
                Field.of("service", server.service()),
                Field.of("address", server.address()),
                Field.of("stage", server.stage().map(Enum::name).orElse("none")),
                Field.of("position", position));
    }

    private void expireMissing() {
        if (!directory.expireMissing(timer.nowMillis()).isEmpty()) {
            publishServers(servers.get().position());
        }
    }

    /** Applies changes of the routes. */
    private final class RouteListener implements CollectionWatcher.Listener {
        @Override
        public void onList(List<StoreEntry> entries, StorePosition position) {
            entries.forEach(DeploymentView.this::applyRoutes);
            // A store that was just restored may have an earlier version than other entries.
            peers.fetch(
                    StoreCollection.ROUTES,
                    PEERS_TO_ASK,
                    copy ->
                            executor.execute(
                                    () ->
                                            copy.entries()
                                                    .forEach(DeploymentView.this::applyRoutes)));
        }

        @Override
        public List<StoreEntry> inForce(List<StoreEntry> listed) {
            return Optional.ofNullable(routesEntry.get()).map(List::of).orElse(listed);
        }

        @Override
        public void onChanges(List<Change> changes, StorePosition position) {
            changes.stream()
                    .filter(change -> !change.removed())
                    .forEach(change -> applyRoutes(change.entry()));
        }

        @Override
        public void onStoreUnavailable() {
            // The current routes stay in use; the watcher logs the outage.
        }

        @Override
        public void onStoreAvailable() {
            // The next watch or list returns the changes made during the outage.
        }

        @Override
        public void onStoreRestored() {
            // The version in force is never replaced by an earlier one.
        }
    }

    /** Applies changes of the servers. */
    private final class ServerListener implements CollectionWatcher.Listener {
        @Override
        public void onList(List<StoreEntry> entries, StorePosition position) {
            List<Registration> read =
                    entries.stream()
                            .map(DeploymentView.this::parseServer)
                            .flatMap(Optional::stream)
                            .toList();
            directory.replaceAll(read, timer.nowMillis());
            serversListed = true;
            publishServers(position);
        }

        @Override
        public void onChanges(List<Change> changes, StorePosition position) {
            for (Change change : changes) {
                Optional<Registration> server =
                        change.removed() ? Optional.empty() : parseServer(change.entry());
                server.ifPresentOrElse(
                        directory::update,
                        () -> directory.remove(change.entry().name(), timer.nowMillis()));
            }
            publishServers(position);
        }

        @Override
        public void onStoreUnavailable() {
            directory.markStoreUnavailable();
        }

        @Override
        public void onStoreAvailable() {
            directory.markStoreAvailable(timer.nowMillis());
        }

        @Override
        public void onStoreRestored() {
            directory.markStoreRestored(timer.nowMillis());
        }
    }
}
