package dev.foxtailshed.daemon.internal.direct;

import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.RouteTable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Logs and counts what happens to requests: one line for each decision. Thread-safe. */
final class DirectRequestRecorder {

    private final MetricRegistry registry;
    private final TimerService timer;
    private final DeploymentClock clock;

    /** Tells how old the list of servers is. */
    interface DeploymentClock {
        ServerCatalog servers();
    }

    DirectRequestRecorder(MetricRegistry registry, TimerService timer, DeploymentClock clock) {
        this.registry = registry;
        this.timer = timer;
        this.clock = clock;
    }

    /** An attempt at a server ended. */
    void attemptEnded(CallerRequest request, BackendCall call, CallOutcome outcome, String detail) {
        registry.counter("attempts." + outcome.name()).inc();
        if (outcome == CallOutcome.ANSWERED || outcome == CallOutcome.CANCELLED) {
            return;
        }
        ServerCatalog servers = clock.servers();
        EventLog.log(
                EventCode.ATTEMPT_FAILED,
                Field.of("request", request.id()),
                Field.of("server", call.server().id()),
                Field.of("outcome", outcome.name()),
                Field.of("detail", detail),
                Field.of("tookMillis", call.elapsedMillis()),
                Field.of("serversRevision", servers.revision()),
                Field.of("serversAgeMillis", timer.nowMillis() - servers.readMillis()));
    }

    /** The first event of a model's stream came. */
    void streamStarted(CallerRequest request, StreamTimes times) {
        registry.timer("streams.waited").update(times.waitedMillis(), TimeUnit.MILLISECONDS);
        registry.timer("streams.prefilled").update(times.prefillMillis(), TimeUnit.MILLISECONDS);
        EventLog.log(
                EventCode.STREAM_STARTED,
                Field.of("request", request.id()),
                Field.of("server", times.server()),
                Field.of("prefillServer", times.prefillServer()),
                Field.of("promptTokens", times.promptTokens()),
                Field.of("reservedTokens", times.reservedTokens()),
                Field.of("waitedMillis", times.waitedMillis()),
                Field.of("prefillMillis", times.prefillMillis()),
                Field.of("elapsedMillis", timer.nowMillis() - request.arrivedMillis()));
    }

    /** A model's stream was passed on as a whole. */
    void streamEnded(CallerRequest request, String server, long tookMillis, int events) {
        registry.timer("streams.ran").update(tookMillis, TimeUnit.MILLISECONDS);
        EventLog.log(
                EventCode.STREAM_ENDED,
                Field.of("request", request.id()),
                Field.of("server", server),
                Field.of("events", events),
                Field.of("tookMillis", tookMillis));
    }

    /**
     * Where the time to the first event went.
     *
     * @param server the decode server
     * @param prefillServer the prefill server
     * @param promptTokens tokens of the prompt
     * @param reservedTokens tokens reserved at the decode server
     * @param waitedMillis time until the reservation
     * @param prefillMillis time that reading the prompt took
     */
    record StreamTimes(
            String server,
            String prefillServer,
            long promptTokens,
            long reservedTokens,
            long waitedMillis,
            long prefillMillis) {}

    /** A request was answered with what a server sent. */
    void answered(CallerRequest request, int status) {
        registry.timer("requests." + request.route().repeatability().name())
                .update(timer.nowMillis() - request.arrivedMillis(), TimeUnit.MILLISECONDS);
        registry.counter("answers." + status).inc();
    }

    /** A request ended with an error of this entry. */
    void failed(CallerRequest request, RequestFailure failure, int attempts) {
        registry.counter("failures." + failure.code().label()).inc();
        EventLog.log(
                EventCode.REQUEST_FAILED,
                Field.of("request", request.id()),
                Field.of("route", request.route().name()),
                Field.of("routesVersion", request.routesVersion()),
                Field.of("service", request.service().name()),
                Field.of("code", failure.code().label()),
                Field.of("verdict", failure.verdict().label()),
                Field.of("message", failure.message()),
                Field.of("attempts", attempts),
                Field.of("retryAfterMillis", failure.retryAfterMillis().orElse(-1)),
                Field.of("elapsedMillis", timer.nowMillis() - request.arrivedMillis()),
                Field.of("remainingMillis", request.deadlineMillis() - timer.nowMillis()));
    }

    /** A request was refused before a flow was started for it. */
    void refused(Optional<String> id, Optional<RouteTable> routes, RequestFailure failure) {
        registry.counter("failures." + failure.code().label()).inc();
        EventLog.log(
                EventCode.REQUEST_REFUSED,
                Field.of("request", id.orElse("none")),
                Field.of("routesVersion", routes.map(RouteTable::version).orElse(-1L)),
                Field.of("code", failure.code().label()),
                Field.of("verdict", failure.verdict().label()),
                Field.of("message", failure.message()),
                Field.of("retryAfterMillis", failure.retryAfterMillis().orElse(-1)));
    }

    /** A request goes on with another attempt. */
    void retried(CallerRequest request, CallOutcome outcome, int attempts) {
        registry.counter("retries").inc();
        EventLog.log(
                EventCode.REQUEST_RETRIED,
                Field.of("request", request.id()),
                Field.of("after", outcome.name()),
                Field.of("attempts", attempts),
                Field.of("remainingMillis", request.deadlineMillis() - timer.nowMillis()));
    }

    /** The caller went away. */
    void callerGone(CallerRequest request) {
        registry.counter("callers.gone").inc();
        EventLog.log(
                EventCode.CALLER_GONE,
                Field.of("request", request.id()),
                Field.of("elapsedMillis", timer.nowMillis() - request.arrivedMillis()));
    }
}
