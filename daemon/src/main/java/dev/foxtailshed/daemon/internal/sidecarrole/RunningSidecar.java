package dev.foxtailshed.daemon.internal.sidecarrole;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.BackendHttpClients;
import dev.foxtailshed.daemon.internal.http.EndpointChain;
import dev.foxtailshed.daemon.internal.http.HealthEndpoint;
import dev.foxtailshed.daemon.internal.http.HttpConnectors;
import dev.foxtailshed.daemon.internal.http.MetricsEndpoint;
import dev.foxtailshed.daemon.internal.platform.HttpObjectStore;
import dev.foxtailshed.daemon.internal.record.RecordWriter;
import dev.foxtailshed.daemon.internal.role.RunningRole;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.daemon.internal.settings.Settings;
import dev.foxtailshed.daemon.internal.sidecar.BackendDriver;
import dev.foxtailshed.daemon.internal.sidecar.EngineDriver;
import dev.foxtailshed.daemon.internal.sidecar.PlainServiceDriver;
import dev.foxtailshed.daemon.internal.sidecar.PoolLimitsReader;
import dev.foxtailshed.daemon.internal.sidecar.Sidecar;
import dev.foxtailshed.daemon.internal.sidecar.SidecarSettings;
import dev.foxtailshed.daemon.internal.timer.ExecutorTimerService;
import dev.foxtailshed.kernel.ledger.LedgerSettings;
import dev.foxtailshed.kernel.record.RecordChainId;
import dev.foxtailshed.wire.FrameTransport;
import dev.foxtailshed.wire.WireCounters;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A running sidecar with its threads, HTTP client and server, transport and record writer. */
final class RunningSidecar implements RunningRole {

    private static final int MAXIMUM_THREADS = 24;
    private static final int MINIMUM_THREADS = 4;
    private static final long STORE_TIMEOUT_MILLIS = 2_000;
    private static final long CONTROL_TIMEOUT_MILLIS = 1_000;
    private static final long EXPORT_TIMEOUT_MILLIS = 2_000;
    private static final long MAXIMUM_NEEDED_IN_MILLIS = 30_000;
    private static final long OUTCOME_RETENTION_MILLIS = 600_000;
    private static final int MAXIMUM_OUTCOMES = 20_000;
    private static final long MAXIMUM_STORED_ANSWER_BYTES = 8L << 20;
    private static final int MAXIMUM_ANSWER_BYTES = 256 << 10;
    private static final long MAXIMUM_QUEUED_BYTES = 1L << 20;
    private static final long REPORT_GAP_MILLIS = 20;
    private static final long TICK_MILLIS = 20;
    private static final long RECONCILE_MILLIS = 2_000;

    private final Settings settings;
    private final QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
    private final ExecutorTimerService timer = new ExecutorTimerService();
    private final SerialExecutor ledgerExecutor = new SerialExecutor(threads);
    private final HttpClient httpClient = BackendHttpClients.newClient();
    private final long incarnation = new SecureRandom().nextLong();
    private final FrameTransport transport;
    private final Server httpServer;
    private final HttpObjectStore store;
    private final RecordWriter recorder;
    private volatile boolean draining;
    private Sidecar sidecar;
    private InetSocketAddress address;

    RunningSidecar(Settings settings) {
        this.settings = settings;
        threads.setName("sidecar");
        httpClient.setExecutor(threads);
        transport =
                FrameTransport.builder()
                        .key(settings.get(SidecarRoleSettings.KEY))
                        .name(settings.get(SidecarRoleSettings.SERVER))
                        .incarnation(incarnation)
                        .executor(threads)
                        .build();
        httpServer = new Server(threads);
        String server = settings.get(SidecarRoleSettings.SERVER);
        store =
                new HttpObjectStore(
                        httpClient,
                        settings.get(SidecarRoleSettings.PLATFORM),
                        server,
                        STORE_TIMEOUT_MILLIS);
        RecordChainId chain =
                new RecordChainId(
                        RecordChainId.Side.SIDECAR, server, Long.toHexString(incarnation));
        recorder = new RecordWriter(chain, store, timer, Clock.systemUTC());
    }

    void start() throws IOException {
        try {
            threads.start();
            httpClient.start();
            BackendDriver driver = newDriver();
            sidecar =
                    new Sidecar(
                            sidecarSettings(),
                            transport.newServer(),
                            driver,
                            timer,
                            ledgerExecutor::executeOrEnqueue,
                            new PoolLimitsReader(settings.get(SidecarRoleSettings.SERVER)),
                            new LoggingSidecarEvents(recorder, Clock.systemUTC()));
            address = sidecar.start();
            recorder.start(settings.get(SidecarRoleSettings.RECORD_PERIOD_MILLIS));
            startHttpServer();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception.
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void drainAndClose() throws InterruptedException {
        draining = true;
        try {
            sidecar.drain()
                    .get(settings.get(SidecarRoleSettings.DRAIN_MILLIS), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            EventLog.log(EventCode.DRAIN_EXPIRED, Field.of("role", "sidecar"));
        } catch (ExecutionException e) {
            EventLog.logUnexpected("drain", e);
        }
        closeRecorder();
        sidecar.close();
        transport.close();
        timer.close();
        stopJetty();
    }

    private void closeRecorder() throws InterruptedException {
        try {
            recorder.close().get(STORE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            EventLog.log(EventCode.RECORD_NOT_CLOSED);
        } catch (ExecutionException e) {
            EventLog.logUnexpected("record", e);
        }
    }

    private void stopJetty() {
        try {
            httpServer.stop();
            httpClient.stop();
            threads.stop();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception; the process ends in any case.
            EventLog.logUnexpected("stop", e);
        }
    }

    private BackendDriver newDriver() throws ExecutionException, InterruptedException {
        if (settings.get(SidecarRoleSettings.BACKEND_KIND).equals(SidecarRoleSettings.PLAIN)) {
            return new PlainServiceDriver(httpClient, settings.get(SidecarRoleSettings.BACKEND));
        }
        String server = settings.get(SidecarRoleSettings.SERVER);
        // No command may be sent without a number, so the start waits for the object API.
        FencingNumberAllocator numberAllocator = new FencingNumberAllocator(store, timer);
        long fencingNumber = numberAllocator.allocate(server, Long.toHexString(incarnation)).get();
        EngineDriver driver =
                new EngineDriver(
                        httpClient,
                        settings.get(SidecarRoleSettings.BACKEND),
                        fencingNumber,
                        timer,
                        CONTROL_TIMEOUT_MILLIS);
        return new FencingDriver(
                driver, () -> numberAllocator.isReplaced(server, fencingNumber), this::onReplaced);
    }

    private void onReplaced() {
        EventLog.log(EventCode.SIDECAR_REPLACED);
        sidecar.close();
    }

    private SidecarSettings sidecarSettings() {
        LedgerSettings ledgerSettings =
                new LedgerSettings(
                        settings.get(SidecarRoleSettings.GRANT_MILLIS),
                        MAXIMUM_NEEDED_IN_MILLIS,
                        EXPORT_TIMEOUT_MILLIS,
                        settings.get(SidecarRoleSettings.LEASE_MILLIS),
                        OUTCOME_RETENTION_MILLIS,
                        MAXIMUM_OUTCOMES,
                        MAXIMUM_STORED_ANSWER_BYTES);
        return new SidecarSettings(
                settings.get(SidecarRoleSettings.SERVER),
                settings.get(SidecarRoleSettings.LISTEN),
                incarnation,
                ledgerSettings,
                settings.get(SidecarRoleSettings.HEARTBEAT_MILLIS),
                REPORT_GAP_MILLIS,
                TICK_MILLIS,
                RECONCILE_MILLIS,
                MAXIMUM_QUEUED_BYTES,
                MAXIMUM_ANSWER_BYTES);
    }

    private void startHttpServer() throws Exception {
        if (settings.find(SidecarRoleSettings.HTTP_LISTEN).isEmpty()) {
            return;
        }
        ServerConnector connector =
                HttpConnectors.add(
                        httpServer,
                        settings.find(SidecarRoleSettings.HTTP_LISTEN).get(),
                        Optional.empty());
        MetricRegistry registry = new MetricRegistry();
        registerWireMetrics(registry, transport.counters());
        httpServer.setHandler(
                new EndpointChain(
                        List.of(new HealthEndpoint(() -> !draining), new MetricsEndpoint(registry)),
                        () -> draining));
        httpServer.start();
        EventLog.log(EventCode.HTTP_READY, Field.of("port", connector.getLocalPort()));
    }

    private static void registerWireMetrics(MetricRegistry registry, WireCounters counters) {
        Gauge<Long> malformed = counters::malformedFrames;
        registry.register("wire.malformedFrames", malformed);
        Gauge<Long> refused = counters::refusedHandshakes;
        registry.register("wire.refusedHandshakes", refused);
        Gauge<Long> framesIn = counters::framesIn;
        registry.register("wire.framesIn", framesIn);
        Gauge<Long> framesOut = counters::framesOut;
        registry.register("wire.framesOut", framesOut);
        Gauge<Long> bytesIn = counters::bytesIn;
        registry.register("wire.bytesIn", bytesIn);
        Gauge<Long> bytesOut = counters::bytesOut;
        registry.register("wire.bytesOut", bytesOut);
    }
}
