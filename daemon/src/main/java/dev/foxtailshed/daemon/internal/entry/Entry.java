package dev.foxtailshed.daemon.internal.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.internal.claims.ClaimService;
import dev.foxtailshed.daemon.internal.claims.ClaimSettings;
import dev.foxtailshed.daemon.internal.claims.LoggingClaimEvents;
import dev.foxtailshed.daemon.internal.entry.SidecarConnection.ConnectionTimings;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.BackendHttpClients;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.EndpointChain;
import dev.foxtailshed.daemon.internal.http.HealthEndpoint;
import dev.foxtailshed.daemon.internal.http.HttpConnectors;
import dev.foxtailshed.daemon.internal.http.InFlightRequests;
import dev.foxtailshed.daemon.internal.http.JsonErrorHandler;
import dev.foxtailshed.daemon.internal.http.MetricsEndpoint;
import dev.foxtailshed.daemon.internal.http.TlsSettings;
import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.manifest.ManifestStore;
import dev.foxtailshed.daemon.internal.manifest.ManifestSubmitter;
import dev.foxtailshed.daemon.internal.manifest.ManifestWatcher;
import dev.foxtailshed.daemon.internal.operator.OperatorEndpoint;
import dev.foxtailshed.daemon.internal.operator.RecordsEndpoint;
import dev.foxtailshed.daemon.internal.platform.HttpObjectStore;
import dev.foxtailshed.daemon.internal.record.RecordStore;
import dev.foxtailshed.daemon.internal.record.RecordWriter;
import dev.foxtailshed.daemon.internal.role.RunningRole;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.daemon.internal.settings.Settings;
import dev.foxtailshed.daemon.internal.timer.ExecutorTimerService;
import dev.foxtailshed.kernel.manifest.ManifestReader;
import dev.foxtailshed.kernel.record.RecordChainId;
import dev.foxtailshed.wire.FrameClient;
import dev.foxtailshed.wire.FrameTransport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A running entry: serves callers over HTTP and exchanges frames with the sidecars. */
final class Entry implements RunningRole {

    private static final int MAXIMUM_THREADS = 64;
    private static final int MINIMUM_THREADS = 8;
    private static final long STORE_TIMEOUT_MILLIS = 2_000;
    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final long IDLE_CLOSE_MILLIS = 500;
    private static final long WAIT_QUEUE_PERIOD_MILLIS = 20;

    private final Settings settings;
    private final QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
    private final ExecutorTimerService timer = new ExecutorTimerService();
    private final HttpClient httpClient = BackendHttpClients.newServiceClient();
    private final InFlightRequests inFlight = new InFlightRequests();
    private final WaitQueue waitQueue = new WaitQueue(timer);
    private final ManifestHolder manifests =
            new ManifestHolder(new ManifestReader(), Clock.systemUTC());
    private final EntryMetrics metrics = new EntryMetrics(new MetricRegistry());
    private final Server server;
    private final ServerConnector connector;
    private final FrameTransport transport;
    private final SidecarRegistry sidecars;
    private final SuspectRegistry suspectRegistry;
    private final SeedDiscovery seedDiscovery;
    private final ManifestWatcher watcher;
    private final OperatorEndpoint operatorEndpoint;
    private final RecordsEndpoint recordsEndpoint;
    private final RecordWriter recordWriter;
    private final ClaimService claims;
    private volatile boolean draining;

    Entry(Settings settings) {
        this.settings = settings;
        threads.setName("entry");
        String instance = settings.get(EntrySettings.INSTANCE);
        HttpObjectStore store =
                new HttpObjectStore(
                        httpClient,
                        settings.get(EntrySettings.PLATFORM),
                        instance,
                        STORE_TIMEOUT_MILLIS);
        long incarnation = new SecureRandom().nextLong();
        transport =
                FrameTransport.builder()
                        .key(settings.get(EntrySettings.KEY))
                        .name(instance)
                        .incarnation(incarnation)
                        .executor(threads)
                        .build();
        ConnectionTimings timings =
                new ConnectionTimings(
                        settings.get(EntrySettings.HEARTBEAT_MILLIS),
                        settings.get(EntrySettings.LEASE_MILLIS));
        FrameClient frameClient = transport.newClient();
        sidecars = new SidecarRegistry(frameClient, timer, manifests, store, timings);
        seedDiscovery =
                new SeedDiscovery(
                        frameClient, timer, manifests, sidecars, settings.get(EntrySettings.SEEDS));
        ManifestStore manifestStore = new ManifestStore(store);
        watcher = new ManifestWatcher(store, manifestStore, manifests, timer);
        operatorEndpoint = newOperatorEndpoint(instance, store, manifestStore);
        recordsEndpoint =
                new RecordsEndpoint(settings.get(EntrySettings.KEY), new RecordStore(store));
        RecordChainId chain =
                new RecordChainId(
                        RecordChainId.Side.ENTRY, instance, Long.toHexString(incarnation));
        recordWriter = new RecordWriter(chain, store, timer, Clock.systemUTC());
        claims = newClaimService(store);
        suspectRegistry = new SuspectRegistry(store, timer, Clock.systemUTC());
        EntryContext context =
                new EntryContext(
                        settings.get(EntrySettings.ZONE),
                        incarnation,
                        sidecars,
                        manifests,
                        timer,
                        threads,
                        waitQueue,
                        metrics,
                        inFlight,
                        recordWriter,
                        Clock.systemUTC(),
                        suspectRegistry);
        server = new Server(threads);
        connector =
                HttpConnectors.add(
                        server, settings.get(EntrySettings.LISTEN), TlsSettings.read(settings));
        server.setHandler(new EndpointChain(endpoints(context), () -> draining));
        server.setErrorHandler(new JsonErrorHandler());
    }

    void start() throws IOException {
        try {
            threads.start();
            httpClient.setExecutor(threads);
            httpClient.start();
            watcher.start();
            sidecars.start(settings.get(EntrySettings.LIST_PERIOD_MILLIS));
            recordWriter.start(settings.get(EntrySettings.RECORD_PERIOD_MILLIS));
            suspectRegistry.start();
            sidecars.subscribe(waitQueue::wake);
            seedDiscovery.start();
            timer.every(WAIT_QUEUE_PERIOD_MILLIS, waitQueue::wake);
            server.start();
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
        draining = true;
        // The load balancer needs time to see "not ready" before requests are refused.
        Thread.sleep(settings.get(EntrySettings.DRAIN_NOTICE_MILLIS));
        awaitIdle();
        closeIdleConnections();
        closeRecord();
        watcher.close();
        suspectRegistry.close();
        sidecars.close();
        transport.close();
        timer.close();
        stop();
    }

    private void awaitIdle() throws InterruptedException {
        long drainMillis = settings.get(EntrySettings.DRAIN_MILLIS);
        try {
            inFlight.drain().get(drainMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            EventLog.log(EventCode.DRAIN_EXPIRED, Field.of("requestsInFlight", inFlight.count()));
        } catch (ExecutionException e) {
            EventLog.logUnexpected("drain", e);
        }
    }

    private void closeRecord() throws InterruptedException {
        try {
            recordWriter.close().get(STORE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            EventLog.log(EventCode.RECORD_NOT_CLOSED);
        } catch (ExecutionException e) {
            EventLog.logUnexpected("record", e);
        }
    }

    /** Stops accepting connections; a request on an open one is still answered, with a refusal. */
    private void closeIdleConnections() throws InterruptedException {
        connector.setShutdownIdleTimeout(IDLE_CLOSE_MILLIS);
        try {
            connector.shutdown().get(2 * IDLE_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            EventLog.log(
                    EventCode.DRAIN_EXPIRED,
                    Field.of("connectionsOpen", connector.getConnectedEndPoints().size()));
        } catch (ExecutionException e) {
            EventLog.logUnexpected("drain", e);
        }
    }

    private void stop() {
        try {
            server.stop();
            httpClient.stop();
            threads.stop();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception; the process ends in any case.
            EventLog.logUnexpected("stop", e);
        }
    }

    private List<Endpoint> endpoints(EntryContext context) {
        int maximumBodyBytes = settings.get(EntrySettings.MAXIMUM_BODY_BYTES).intValue();
        BodyReader bodyReader = new BodyReader(maximumBodyBytes, threads);
        Gauge<Integer> queued = waitQueue::size;
        metrics.registry().register("requests.queued", queued);
        Gauge<Integer> running = inFlight::count;
        metrics.registry().register("requests.inFlight", running);
        return List.of(
                new CompletionsEndpoint(context, bodyReader, Clock.systemUTC()),
                new CallsEndpoint(context, bodyReader, claims),
                recordsEndpoint,
                operatorEndpoint,
                new HealthEndpoint(this::isReady),
                new MetricsEndpoint(metrics.registry()));
    }

    private ClaimService newClaimService(HttpObjectStore store) {
        return new ClaimService(
                store,
                timer,
                Clock.systemUTC(),
                () -> new SerialExecutor(threads),
                new ClaimSettings(
                        settings.get(EntrySettings.CLAIM_RETENTION_MILLIS),
                        CLAIM_TIMEOUT_MILLIS,
                        settings.get(EntrySettings.CLAIM_WRITES_PER_SECOND)),
                new LoggingClaimEvents(metrics.registry()));
    }

    private OperatorEndpoint newOperatorEndpoint(
            String instance, HttpObjectStore store, ManifestStore manifestStore) {
        ManifestSubmitter submitter =
                new ManifestSubmitter(
                        store,
                        manifestStore,
                        manifests,
                        new ManifestReader(),
                        timer,
                        Clock.systemUTC());
        return new OperatorEndpoint(
                settings.get(EntrySettings.KEY),
                submitter,
                manifestStore,
                manifests,
                new EntryInForceReport(
                        instance,
                        settings.get(EntrySettings.KEY).authorizationHeader(),
                        manifests,
                        sidecars,
                        httpClient),
                new EntryStatusReport(instance, manifests, sidecars, metrics));
    }

    private boolean isReady() {
        boolean connected =
                sidecars.connections().stream().anyMatch(SidecarConnection::isConnected);
        return !draining && manifests.version() > 0 && connected;
    }
}
