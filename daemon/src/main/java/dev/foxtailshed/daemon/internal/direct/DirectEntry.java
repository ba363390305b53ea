package dev.foxtailshed.daemon.internal.direct;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.hosting.HostingPlatform;
import dev.foxtailshed.daemon.hosting.SharedStore;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.http.BackendHttp;
import dev.foxtailshed.daemon.internal.http.EndpointChain;
import dev.foxtailshed.daemon.internal.http.HttpConnectors;
import dev.foxtailshed.daemon.internal.http.JsonErrorHandler;
import dev.foxtailshed.daemon.internal.http.MetricsEndpoint;
import dev.foxtailshed.daemon.internal.http.MetricsTextEndpoint;
import dev.foxtailshed.daemon.internal.role.RunningRole;
import dev.foxtailshed.daemon.internal.role.SignalHandlers;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.daemon.internal.timer.ExecutorTimerService;
import dev.foxtailshed.kernel.direct.RouteTable;
import dev.foxtailshed.kernel.direct.ServerHealthRegistry;
import dev.foxtailshed.kernel.direct.WindowedRetryBudget;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A running direct entry. */
final class DirectEntry implements RunningRole {

    private static final int MAXIMUM_THREADS = 16;
    private static final int MINIMUM_THREADS = 4;

    /** How long a call to the store may take; it answers in milliseconds when it is well. */
    private static final long STORE_TIMEOUT_MILLIS = 700;

    /** How long a connection attempt may take; a lost packet is sent again after a second. */
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** Idle connections to servers are closed before servers usually close them. */
    private static final long SERVER_IDLE_MILLIS = 4_000;

    /** After this an address without requests is forgotten; servers come and go. */
    private static final long DESTINATION_IDLE_MILLIS = 60_000;

    /** Largest head of a request, above what configurations allow to callers. */
    private static final int MAXIMUM_HEAD_BYTES = 64 << 10;

    /** Two checks of the balancer, a second apart, and their way: then it sends nothing new. */
    private static final long BALANCER_NOTICE_MILLIS = 2_600;

    /** Part of the grace that is kept for the end of the process. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    /** Entries assumed while their number is unknown: more than most deployments have. */
    private static final int ASSUMED_ENTRIES = 20;

    /** The name of the lease for orders to model servers in the store. */
    private static final String ORDER_LEASE = "stage-orders";

    private final SettingsWatcher settings;
    private final QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
    private final ExecutorTimerService timer = new ExecutorTimerService();
    private final HttpClient httpClient = BackendHttp.newClient();
    private final ShutdownGate gate = new ShutdownGate(timer);
    private final MetricRegistry registry = new MetricRegistry();
    private final Server callers = new Server(threads);
    private final Server control = new Server(threads);
    private final ServerConnector connector;
    private final DeploymentView view;
    private final EntryMembership membership;
    private final DirectFlowFactory flows;
    private final StageCoordinator coordinator;
    private volatile boolean leaving;

    DirectEntry(DirectSettings first, HostingPlatform platform, Path file) {
        settings = new SettingsWatcher(file, first);
        threads.setName("direct");
        DoubleSupplier random = () -> ThreadLocalRandom.current().nextDouble();
        SharedStore store =
                platform.openStore(
                        httpClient, () -> settings.get().storeAddress(), STORE_TIMEOUT_MILLIS);
        SerialExecutor loop = new SerialExecutor(threads);
        membership = new EntryMembership(store, first, timer, loop);
        PeerExchange peers = new PeerExchange(httpClient, this::peers, random);
        view = new DeploymentView(platform, store, timer, loop, random, peers);
        DirectContext context =
                new DirectContext(
                        platform,
                        view,
                        loop,
                        timer,
                        httpClient,
                        new ServerHealthRegistry(),
                        new WindowedRetryBudgets(name -> newBudget()),
                        new DirectRequestRecorder(registry, timer, view::servers),
                        random);
        flows = new DirectFlowFactory(context, first.zone(), this::entries);
        coordinator = newCoordinator(context, store, first);
        connector =
                HttpConnectors.addForwarding(callers, first.callerAddress(), MAXIMUM_HEAD_BYTES);
        HttpConnectors.add(control, first.readinessAddress(), Optional.empty());
        if (!first.controlAddress().equals(first.readinessAddress())) {
            HttpConnectors.add(control, first.controlAddress(), Optional.empty());
        }
        callers.setHandler(
                new EndpointChain(
                        List.of(new DirectEndpoint(context, flows, gate)), () -> leaving));
        control.setHandler(
                new EndpointChain(
                        List.of(
                                new ReadinessEndpoint(this::isReady),
                                peers,
                                new MetricsTextEndpoint(registry),
                                new MetricsEndpoint(registry)),
                        () -> leaving));
        registerGauges();
        callers.setErrorHandler(new JsonErrorHandler());
        control.setErrorHandler(new JsonErrorHandler());
    }

    void start() throws IOException {
        try {
            threads.start();
            httpClient.setExecutor(threads);
            httpClient.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
            httpClient.setIdleTimeout(SERVER_IDLE_MILLIS);
            httpClient.setDestinationIdleTimeout(DESTINATION_IDLE_MILLIS);
            httpClient.start();
            BackendHttp.disableResponseProcessing(httpClient);
            view.start();
            membership.start();
            flows.start();
            coordinator.start();
            settings.start(timer);
            SignalHandlers.onHangup(() -> settings.reload("SIGHUP"));
            control.start();
            callers.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            // Jetty's life cycle declares Exception.
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
        leaving = true;
        // The balancer goes on sending until it has seen "not ready" twice.
        Thread.sleep(Math.min(BALANCER_NOTICE_MILLIS, settings.get().graceMillis() / 2));
        gate.close(endMillis);
        view.close();
        timer.close();
        stop();
    }

    /** The addresses of peers: those of the settings, and all that the store has told of. */
    private List<InetSocketAddress> peers() {
        Set<InetSocketAddress> all = new LinkedHashSet<>(settings.get().peers());
        all.addAll(membership.others());
        all.remove(settings.get().controlAddress());
        return List.copyOf(all);
    }

    private StageCoordinator newCoordinator(
            DirectContext context, SharedStore store, DirectSettings first) {
        StageChangeLease lease =
                new StageChangeLease(
                        context, store, ORDER_LEASE, first.instance(), first.leaseMillis());
        return new StageCoordinator(
                context,
                flows.control(),
                lease,
                first.instance(),
                flows::isLoaded,
                flows::modelService);
    }

    private void registerGauges() {
        Gauge<Integer> running = gate::count;
        registry.register("requests.inFlight", running);
        Gauge<Integer> waiting = flows::waiting;
        registry.register("streams.waiting", waiting);
        Gauge<Long> version = () -> view.routes().map(RouteTable::version).orElse(0L);
        registry.register("routes.version", version);
        Gauge<Integer> usable = () -> view.servers().all().size();
        registry.register("servers.usable", usable);
        Gauge<Integer> members = () -> membership.count().orElse(0);
        registry.register("entries.live", members);
    }

    private boolean isReady() {
        return !leaving && view.isComplete();
    }

    private int entries() {
        return membership.count().orElse(ASSUMED_ENTRIES);
    }

    private WindowedRetryBudget newBudget() {
        return new WindowedRetryBudget(
                settings.get().repeatRatio(),
                () -> settings.get().repeatReserve() / entries(),
                settings.get().repeatWindowMillis());
    }

    private void stop() {
        try {
            callers.stop();
            control.stop();
            httpClient.stop();
            threads.stop();
        } catch (Exception e) {
            // Jetty's life cycle declares Exception; the process ends in any case.
            EventLog.unexpected("stop", e);
        }
    }
}
