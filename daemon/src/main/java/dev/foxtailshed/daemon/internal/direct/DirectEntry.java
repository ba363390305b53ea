package dev.foxtailshed.daemon.internal.direct;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.hosting.HostingPlatform;
import dev.foxtailshed.daemon.hosting.SharedStore;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.http.BackendHttpClients;
import dev.foxtailshed.daemon.internal.http.BufferBudgets;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.EndpointChain;
import dev.foxtailshed.daemon.internal.http.HttpConnectors;
import dev.foxtailshed.daemon.internal.http.JsonErrorHandler;
import dev.foxtailshed.daemon.internal.http.MetricsEndpoint;
import dev.foxtailshed.daemon.internal.http.MetricsTextEndpoint;
import dev.foxtailshed.daemon.internal.role.RunningRole;
import dev.foxtailshed.daemon.internal.role.SignalHandlers;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import dev.foxtailshed.daemon.internal.timer.ExecutorTimerService;
import dev.foxtailshed.kernel.direct.BufferBudget;
import dev.foxtailshed.kernel.direct.EntryOrder;
import dev.foxtailshed.kernel.direct.RouteTable;
import dev.foxtailshed.kernel.direct.ServerHealthRegistry;
import dev.foxtailshed.kernel.direct.ServerRateLimits;
import dev.foxtailshed.kernel.direct.WindowedRetryBudget;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Clock;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A running direct entry: its servers, its clients and the state that its requests share. */
final class DirectEntry implements RunningRole {

    private static final int MAXIMUM_THREADS = 16;
    private static final int MINIMUM_THREADS = 4;

    /** Timeout of a call to the store, which normally responds within milliseconds. */
    private static final long STORE_TIMEOUT_MILLIS = 700;

    /** Timeout for connecting to a server. TCP retransmits a lost SYN only after a second. */
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /**
     * Idle timeout of connections to servers; shorter than servers usually have, so that no request
     * is sent on a connection that its server is closing.
     */
    private static final long SERVER_IDLE_TIMEOUT_MILLIS = 4_000;

    /**
     * Time without requests after which the connection pool of an address is removed; servers come
     * and go.
     */
    private static final long DESTINATION_IDLE_TIMEOUT_MILLIS = 60_000;

    /** Largest head of a request; above the limit for callers in usual configurations. */
    private static final int MAXIMUM_HEAD_BYTES = 64 << 10;

    /**
     * Time after which the load balancer sends no new requests to an instance that is not ready:
     * two failed checks, a second apart, plus their latency.
     */
    private static final long BALANCER_DETECTION_MILLIS = 2_600;

    /** Part of the grace period that is reserved for the exit of the process. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    /**
     * Number of entries assumed while it is unknown; above that of most deployments, so that this
     * entry's share is not too large.
     */
    private static final int ASSUMED_ENTRIES = 20;

    /** Entries that are asked for the crashes that this entry has missed. */
    private static final int PEERS_TO_ASK = 3;

    /**
     * When other entries are asked after the start: those of the settings, then those of the store.
     */
    private static final long[] FETCH_DELAYS_MILLIS = {0, 800, 2_000};

    /** Name of the lease for stage changes in the store. */
    private static final String STAGE_CHANGE_LEASE = "stage-orders";

    private final SettingsWatcher settings;
    private final DoubleSupplier random = () -> ThreadLocalRandom.current().nextDouble();
    private final QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
    private final ExecutorTimerService timer = new ExecutorTimerService();
    private final HttpClient httpClient = BackendHttpClients.newClient();
    private final ShutdownGate gate = new ShutdownGate(timer);
    private final MetricRegistry registry = new MetricRegistry();
    private final Server callers = new Server(threads);
    private final Server control = new Server(threads);
    private final ServerConnector connector;
    private final DeploymentView view;
    private final SerialExecutor loop = new SerialExecutor(threads);
    private final BufferBudget requestBuffers = BufferBudgets.forRequests();
    private final BufferBudget responseBuffers = BufferBudgets.forResponses();
    private final LoopMonitors loopMonitors = new LoopMonitors(timer);
    private final ServerRateLimits rateLimits =
            new ServerRateLimits(this::entryCount, id -> entryRank(Set.of(id)));
    private final CrashGuard crashGuard;
    private final CrashNotices crashNotices;
    private final WorkspaceQuotas quotas;
    private final EntryMembership membership;
    private final DirectFlowFactory flows;
    private final StageCoordinator coordinator;
    private volatile boolean shuttingDown;

    DirectEntry(DirectSettings initialSettings, HostingPlatform platform, Path file) {
        settings = new SettingsWatcher(file, initialSettings);
        threads.setName("direct");
        SharedStore store =
                platform.openStore(
                        httpClient, () -> settings.get().storeAddress(), STORE_TIMEOUT_MILLIS);
        PeerExchange peers = new PeerExchange(httpClient, this::peerAddresses, random);
        view = new DeploymentView(platform, store, timer, loop, random, peers);
        quotas = newQuotas(SettingParsers.text(initialSettings.controlAddress()));
        DirectContext context = newContext(platform);
        EngineControlClient controlClient = new EngineControlClient(context);
        crashNotices = newCrashNotices();
        crashGuard =
                new CrashGuard(
                        context,
                        controlClient,
                        Clock.systemUTC(),
                        this::sendCrashNotice,
                        this::entryRank);
        membership = new EntryMembership(store, initialSettings, timer, loop, crashGuard);
        flows =
                new DirectFlowFactory(
                        context,
                        controlClient,
                        crashGuard,
                        initialSettings.zone(),
                        this::entryCount);
        StageChangeNotices notices =
                new StageChangeNotices(
                        httpClient,
                        this::peerAddresses,
                        notice -> context.runOnLoop(() -> recordNotice(notice)));
        coordinator = newCoordinator(context, controlClient, store, notices, initialSettings);
        connector =
                HttpConnectors.addForwarding(
                        callers, initialSettings.callerAddress(), MAXIMUM_HEAD_BYTES);
        addControlConnectors(initialSettings);
        registerGauges();
        setHandlers(
                new DirectEndpoint(context, flows, gate),
                List.of(
                        new ReadinessEndpoint(this::isReady),
                        peers,
                        notices,
                        crashNotices,
                        quotas.exchange(),
                        new MetricsTextEndpoint(registry),
                        new MetricsEndpoint(registry)));
    }

    private void addControlConnectors(DirectSettings initialSettings) {
        HttpConnectors.add(control, initialSettings.readinessAddress(), Optional.empty());
        if (!initialSettings.controlAddress().equals(initialSettings.readinessAddress())) {
            HttpConnectors.add(control, initialSettings.controlAddress(), Optional.empty());
        }
    }

    private void setHandlers(Endpoint callerEndpoint, List<Endpoint> controlEndpoints) {
        callers.setHandler(new EndpointChain(List.of(callerEndpoint), () -> shuttingDown));
        control.setHandler(new EndpointChain(controlEndpoints, () -> shuttingDown));
        callers.setErrorHandler(new JsonErrorHandler());
        control.setErrorHandler(new JsonErrorHandler());
    }

    void start() throws IOException {
        try {
            threads.start();
            httpClient.setExecutor(threads);
            httpClient.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
            httpClient.setIdleTimeout(SERVER_IDLE_TIMEOUT_MILLIS);
            httpClient.setDestinationIdleTimeout(DESTINATION_IDLE_TIMEOUT_MILLIS);
            httpClient.start();
            BackendHttpClients.disableResponseProcessing(httpClient);
            // Subscribes to the view before it has anything to report.
            flows.start();
            view.subscribe(quotas::configure);
            quotas.start();
            loopMonitors.add("entry", loop);
            loopMonitors.addSelectors("client", httpClient);
            view.start();
            membership.start();
            crashGuard.start();
            fetchCrashesAfterStart();
            coordinator.start();
            settings.start(timer);
            SignalHandlers.onHangup(() -> settings.reload("SIGHUP"));
            control.start();
            callers.start();
            loopMonitors.addSelectors("callers", callers);
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception.
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public InetSocketAddress address() {
        return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
    }

    @Override
    public void drainAndClose() throws InterruptedException {
        long endMillis = timer.nowMillis() + settings.get().graceMillis() - EXIT_MARGIN_MILLIS;
        shuttingDown = true;
        // The load balancer keeps sending requests until two readiness checks have failed.
        Thread.sleep(Math.min(BALANCER_DETECTION_MILLIS, settings.get().graceMillis() / 2));
        gate.close(endMillis);
        view.close();
        timer.close();
        stop();
    }

    /**
     * Returns the control addresses of the other entries, both from the settings and from the
     * store.
     */
    private List<InetSocketAddress> peerAddresses() {
        Set<InetSocketAddress> all = new LinkedHashSet<>(settings.get().peers());
        all.addAll(membership.otherAddresses());
        all.remove(settings.get().controlAddress());
        return List.copyOf(all);
    }

    private WorkspaceQuotas newQuotas(String self) {
        return new WorkspaceQuotas(
                timer,
                loop,
                httpClient,
                self,
                () -> quotaConfiguration(self),
                new QuotaRecorder(registry, timer));
    }

    private DirectContext newContext(HostingPlatform platform) {
        return new DirectContext(
                platform,
                view,
                loop,
                timer,
                httpClient,
                new ServerHealthRegistry(),
                rateLimits,
                new WindowedRetryBudgets(name -> newRetryBudget()),
                quotas,
                requestBuffers,
                responseBuffers,
                new DirectRequestRecorder(registry, timer, view::servers),
                random);
    }

    private WorkspaceQuotas.Configuration quotaConfiguration(String self) {
        Optional<Integer> count = membership.count();
        List<String> members =
                Stream.concat(
                                Stream.of(self),
                                membership.otherAddresses().stream().map(SettingParsers::text))
                        .sorted()
                        .toList();
        return new WorkspaceQuotas.Configuration(
                view.routes(),
                settings.get().quotaBounds(),
                count.map(OptionalInt::of).orElse(OptionalInt.empty()),
                members);
    }

    private void recordNotice(StageChangeNotices.Notice notice) {
        coordinator.recordNotice(notice);
    }

    private CrashNotices newCrashNotices() {
        return new CrashNotices(
                httpClient,
                timer,
                this::peerAddresses,
                notice -> loop.executeOrEnqueue(() -> crashGuard.onNotice(notice)),
                () -> crashGuard.evidence());
    }

    private void sendCrashNotice(CrashNotice notice) {
        crashNotices.send(notice);
        if (notice instanceof CrashNotice.Crashed) {
            // An entry that missed earlier notices learns of them with its own first crash.
            crashNotices.fetch(PEERS_TO_ASK);
        }
    }

    /** Asks other entries, once it is known which there are. */
    private void fetchCrashesAfterStart() {
        for (long delayMillis : FETCH_DELAYS_MILLIS) {
            timer.once(delayMillis, () -> crashNotices.fetch(PEERS_TO_ASK));
        }
    }

    /** Returns the number of live entries that come before this one in the order for labels. */
    private int entryRank(Set<String> labels) {
        return EntryOrder.rank(
                labels,
                SettingParsers.text(settings.get().controlAddress()),
                membership.otherAddresses().stream().map(SettingParsers::text).toList());
    }

    private StageCoordinator newCoordinator(
            DirectContext context,
            EngineControlClient controlClient,
            SharedStore store,
            StageChangeNotices notices,
            DirectSettings initialSettings) {
        StageChangeLease lease =
                new StageChangeLease(
                        context,
                        store,
                        STAGE_CHANGE_LEASE,
                        initialSettings.instance(),
                        initialSettings.leaseMillis());
        return new StageCoordinator(
                context,
                controlClient,
                lease,
                notices,
                initialSettings.instance(),
                flows::isLoaded,
                flows::modelService);
    }

    private void registerGauges() {
        Gauge<Integer> running = gate::count;
        registry.register("requests.inFlight", running);
        Gauge<Integer> waiting = flows::waitingRequests;
        registry.register("streams.waiting", waiting);
        Gauge<BigDecimal> version =
                () -> view.routes().map(RouteTable::version).orElse(BigDecimal.ZERO);
        registry.register("routes.version", version);
        Gauge<Integer> unusableParts = view::unusableParts;
        registry.register("routes.unusableParts", unusableParts);
        Gauge<Integer> usable = () -> view.servers().all().size();
        registry.register("servers.usable", usable);
        Gauge<Long> bodyBytes = requestBuffers::usedBytes;
        registry.register("requests.bufferedBytes", bodyBytes);
        Gauge<Long> bufferedBytes = responseBuffers::usedBytes;
        registry.register("responses.bufferedBytes", bufferedBytes);
        Gauge<Integer> limited = rateLimits::size;
        registry.register("servers.limited", limited);
        Gauge<Integer> patterns = crashGuard::patternCount;
        registry.register("crashes.patterns", patterns);
        Gauge<Integer> members = () -> membership.count().orElse(0);
        registry.register("entries.live", members);
    }

    private boolean isReady() {
        return !shuttingDown && view.isComplete() && loopMonitors.areRunning();
    }

    private int entryCount() {
        return membership.count().orElse(ASSUMED_ENTRIES);
    }

    private WindowedRetryBudget newRetryBudget() {
        return new WindowedRetryBudget(
                settings.get().retryRatio(),
                () -> settings.get().retryReserve() / entryCount(),
                settings.get().retryWindowMillis());
    }

    private void stop() {
        try {
            callers.stop();
            control.stop();
            httpClient.stop();
            threads.stop();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception; the process ends in any case.
            EventLog.logUnexpected("stop", e);
        }
    }
}
