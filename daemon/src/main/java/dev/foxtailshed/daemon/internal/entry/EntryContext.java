package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.entry.EntryMetrics.MetricLabels;
import dev.foxtailshed.daemon.internal.http.BufferBudgets;
import dev.foxtailshed.daemon.internal.http.InFlightRequests;
import dev.foxtailshed.daemon.internal.manifest.ManifestHolder;
import dev.foxtailshed.daemon.internal.record.RecordWriter;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.direct.BufferBudget;
import dev.foxtailshed.kernel.routing.PrefixHints;
import java.time.Clock;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;

/** Holds the services and state that all requests of an entry share. Thread-safe. */
final class EntryContext {

    private static final int MAXIMUM_PREFIX_BLOCKS = 50_000;

    private final String zone;
    private final long incarnation;
    private final SidecarRegistry sidecars;
    private final ManifestHolder manifests;
    private final TimerService timer;
    private final Executor executor;
    private final WaitQueue waitQueue;
    private final EntryMetrics metrics;
    private final InFlightRequests inFlight;
    private final RecordWriter recordWriter;
    private final Clock clock;
    private final SuspectRegistry suspectRegistry;
    private final RoutingStrategies routingStrategies = new RoutingStrategies();
    private final PrefixHints prefixHints = new PrefixHints(MAXIMUM_PREFIX_BLOCKS);
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final RetryBudgets retryBudgets = new RetryBudgets();
    private final TokenEstimators tokenEstimators = new TokenEstimators();
    private final BufferBudget responseBuffers = BufferBudgets.forResponses();
    private final AtomicLong nextSequence = new AtomicLong(1);

    EntryContext(
            String zone,
            long incarnation,
            SidecarRegistry sidecars,
            ManifestHolder manifests,
            TimerService timer,
            Executor executor,
            WaitQueue waitQueue,
            EntryMetrics metrics,
            InFlightRequests inFlight,
            RecordWriter recordWriter,
            Clock clock,
            SuspectRegistry suspectRegistry) {
        this.zone = zone;
        this.incarnation = incarnation;
        this.sidecars = sidecars;
        this.manifests = manifests;
        this.timer = timer;
        this.executor = executor;
        this.waitQueue = waitQueue;
        this.metrics = metrics;
        this.inFlight = inFlight;
        this.recordWriter = recordWriter;
        this.clock = clock;
        this.suspectRegistry = suspectRegistry;
    }

    String zone() {
        return zone;
    }

    SidecarRegistry sidecars() {
        return sidecars;
    }

    ManifestHolder manifests() {
        return manifests;
    }

    BufferBudget responseBuffers() {
        return responseBuffers;
    }

    TimerService timer() {
        return timer;
    }

    Executor executor() {
        return executor;
    }

    WaitQueue waitQueue() {
        return waitQueue;
    }

    EntryMetrics metrics() {
        return metrics;
    }

    RoutingStrategies routingStrategies() {
        return routingStrategies;
    }

    TokenEstimators tokenEstimators() {
        return tokenEstimators;
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

    /** Creates the suspect tracker of a request. */
    SuspectTracker newSuspectTracker(String deployment, String prompt) {
        return new SuspectTracker(suspectRegistry, timer, deployment, prompt);
    }

    /** Creates the outcome recorder of a request. */
    RequestOutcomeRecorder newOutcomeRecorder(
            MetricLabels labels, long arrival, boolean repeatable) {
        return new RequestOutcomeRecorder(
                metrics, recordWriter, timer, clock, labels, requestLabel(arrival), repeatable);
    }

    /** Returns the next arrival number, which orders requests by their arrival. */
    long nextArrival() {
        return nextSequence.getAndIncrement();
    }

    /**
     * Returns the id of a new attempt; its sequence number grows with every attempt of this entry.
     */
    AttemptId nextAttemptId(int number) {
        return new AttemptId(incarnation, nextSequence.getAndIncrement(), number);
    }

    /** Returns the label of a request in logs, answers and the record. */
    String requestLabel(long arrival) {
        return Long.toHexString(incarnation) + "-" + arrival;
    }
}
