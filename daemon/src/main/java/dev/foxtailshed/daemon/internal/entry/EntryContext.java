package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.EntryMetrics.MetricLabels;
import dev.foxtailshed.daemon.internal.http.InFlightRequests;
import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.record.RecordWriter;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.routing.PrefixHints;
import java.time.Clock;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;

/** What every request of an entry shares. Thread-safe. */
final class EntryContext {

    private static final int MAXIMUM_PREFIX_BLOCKS = 50_000;

    private final String zone;
    private final long incarnation;
    private final SidecarRegistry fleet;
    private final ManifestHolder manifests;
    private final TimerService timer;
    private final Executor pool;
    private final WaitQueue waitQueue;
    private final EntryMetrics metrics;
    private final InFlightRequests inFlight;
    private final RecordWriter recorder;
    private final Clock clock;
    private final SuspectRegistry suspectBoard;
    private final RoutingStrategies routers = new RoutingStrategies();
    private final PrefixHints prefixHints = new PrefixHints(MAXIMUM_PREFIX_BLOCKS);
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final RetryBudgets retryBudgets = new RetryBudgets();
    private final TokenEstimators tokenEstimates = new TokenEstimators();
    private final AtomicLong nextSequence = new AtomicLong(1);

    EntryContext(
            String zone,
            long incarnation,
            SidecarRegistry fleet,
            ManifestHolder manifests,
            TimerService timer,
            Executor pool,
            WaitQueue waitQueue,
            EntryMetrics metrics,
            InFlightRequests inFlight,
            RecordWriter recorder,
            Clock clock,
            SuspectRegistry suspectBoard) {
        this.zone = zone;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.manifests = manifests;
        this.timer = timer;
        this.pool = pool;
        this.waitQueue = waitQueue;
        this.metrics = metrics;
        this.inFlight = inFlight;
        this.recorder = recorder;
        this.clock = clock;
        this.suspectBoard = suspectBoard;
    }

    String zone() {
        return zone;
    }

    SidecarRegistry fleet() {
        return fleet;
    }

    ManifestHolder manifests() {
        return manifests;
    }

    TimerService timer() {
        return timer;
    }

    Executor pool() {
        return pool;
    }

    WaitQueue waitQueue() {
        return waitQueue;
    }

    EntryMetrics metrics() {
        return metrics;
    }

    RoutingStrategies routers() {
        return routers;
    }

    TokenEstimators tokenEstimates() {
        return tokenEstimates;
    }

    PrefixHints prefixHints() {
        return prefixHints;
    }

    ServiceTimes serviceTimes() {
        return serviceTimes;
    }

    RetryBudgets retryBudgets() {
        return retryBudgets;
    }

    InFlightRequests inFlight() {
        return inFlight;
    }

    /** Opens what a request has to do with crashes. */
    SuspectTracker newSuspicion(String deployment, String prompt) {
        return new SuspectTracker(suspectBoard, timer, deployment, prompt);
    }

    /** Opens the journal of a request. */
    RequestOutcomeRecorder newJournal(MetricLabels label, long arrival, boolean repeatable) {
        return new RequestOutcomeRecorder(
                metrics, recorder, timer, clock, label, requestLabel(arrival), repeatable);
    }

    /** Draws a number that orders requests by their arrival. */
    long nextArrival() {
        return nextSequence.getAndIncrement();
    }

    /** Draws the id of a new attempt; the sequence grows with every attempt of this entry. */
    AttemptId nextAttempt(int attempt) {
        return new AttemptId(incarnation, nextSequence.getAndIncrement(), attempt);
    }

    /** Returns the name of a request in logs and answers. */
    String requestLabel(long arrival) {
        return Long.toHexString(incarnation) + "-" + arrival;
    }
}
