package dev.foxtailshed.daemon.internal.direct;

import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.internal.direct.DecodeReservations.Reservation;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.HttpExchange.ConnectionUse;
import dev.foxtailshed.daemon.internal.http.ResponseFraming;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.RouteTable;
import dev.foxtailshed.kernel.direct.ServerRateLimits;
import dev.foxtailshed.kernel.direct.workspace.ApiKey;
import java.math.BigDecimal;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Updates metrics and writes one log line for each decision about a request. Thread-safe. */
final class DirectRequestRecorder {

    private final MetricRegistry registry;
    private final TimerService timer;
    private final ServerCatalogSource catalogSource;

    /** Supplies the current servers, whose revision and age are logged. */
    interface ServerCatalogSource {
        ServerCatalog servers();
    }

    DirectRequestRecorder(
            MetricRegistry registry, TimerService timer, ServerCatalogSource catalogSource) {
        this.registry = registry;
        this.timer = timer;
        this.catalogSource = catalogSource;
    }

    /** Records the end of an attempt; logs it if it failed. */
    void recordAttemptEnd(
            CallerRequest request, BackendCall call, CallOutcome outcome, String detail) {
        registry.counter("attempts." + outcome.name()).inc();
        if (outcome == CallOutcome.ANSWERED || outcome == CallOutcome.CANCELLED) {
            return;
        }
        ServerCatalog servers = catalogSource.servers();
        EventLog.log(
                EventCode.ATTEMPT_FAILED,
                Field.of("request", request.id()),
                Field.of("server", call.server().id()),
                Field.of("outcome", outcome.name()),
                Field.of("detail", detail),
                Field.of("caller", request.callerAddress()),
                Field.of("fingerprint", RequestFingerprint.of(request).content()),
                Field.of("promptParts", request.attributes().promptParts().ids()),
                Field.of("tookMillis", call.elapsedMillis()),
                Field.of("begun", call.connectionUse().isPresent()),
                Field.of("localPort", call.connectionUse().map(ConnectionUse::localPort).orElse(0)),
                Field.of(
                        "earlierRequests",
                        call.connectionUse().map(ConnectionUse::earlierRequests).orElse(0L)),
                Field.of("serversPosition", servers.position()),
                Field.of("serversAgeMillis", timer.nowMillis() - servers.readMillis()));
    }

    /** Records that a server named a limit that is no rate. */
    void recordUnreadableLimit(DirectServer server, String text) {
        EventLog.log(
                EventCode.SERVER_LIMIT_UNREADABLE,
                Field.of("server", server.id()),
                Field.of("expected", "a decimal number of requests per second"),
                Field.of("found", text));
    }

    /** Records that a server's limit has begun, changed or ended. */
    void recordLimitChange(
            DirectServer server, OptionalDouble requestsPerSecond, ServerRateLimits.Change change) {
        if (change == ServerRateLimits.Change.LIMITED) {
            EventLog.log(
                    EventCode.SERVER_LIMITED,
                    Field.of("server", server.id()),
                    Field.of("requestsPerSecond", requestsPerSecond.orElse(0)));
        } else if (change == ServerRateLimits.Change.UNLIMITED) {
            EventLog.log(EventCode.SERVER_UNLIMITED, Field.of("server", server.id()));
        }
    }

    /** Records the first event of a model request's stream. */
    void recordStreamStart(CallerRequest request, StreamTimings times) {
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

    /** Records the completion of a model request's stream. */
    void recordStreamEnd(
            CallerRequest request,
            String server,
            long tookMillis,
            int events,
            StreamPosition position) {
        registry.timer("streams.ran").update(tookMillis, TimeUnit.MILLISECONDS);
        EventLog.log(
                EventCode.STREAM_ENDED,
                Field.of("request", request.id()),
                Field.of("server", server),
                Field.of("events", events),
                Field.of("tookMillis", tookMillis),
                Field.of("status", position.status()),
                Field.of("framing", position.framing().map(Enum::name).orElse("NONE")),
                Field.of("resumedAfter", position.resumedAfter().orElse(-1)),
                Field.of("firstEventId", position.firstEventId().orElse(-1)),
                Field.of("lastEventId", position.lastEventId().orElse(-1)),
                Field.of("incompleteBytes", position.incompleteBytes()));
    }

    /** Records that an attempt ended after the response had started and before it was complete. */
    void recordStreamBreak(
            CallerRequest request, String server, CallOutcome outcome, StreamPosition position) {
        registry.counter("streams.broken").inc();
        EventLog.log(
                EventCode.STREAM_BROKEN,
                Field.of("request", request.id()),
                Field.of("server", server),
                Field.of("outcome", outcome.name()),
                Field.of("status", position.status()),
                Field.of("framing", position.framing().map(Enum::name).orElse("NONE")),
                Field.of("resumedAfter", position.resumedAfter().orElse(-1)),
                Field.of("firstEventId", position.firstEventId().orElse(-1)),
                Field.of("lastEventId", position.lastEventId().orElse(-1)),
                Field.of("incompleteBytes", position.incompleteBytes()));
    }

    /**
     * The position that an attempt has reached in a stream.
     *
     * @param status the status of the attempt's response; 0 without a response
     * @param framing how the end of the response is marked; empty without a response
     * @param resumedAfter the id of the event after which the attempt resumed the stream
     * @param firstEventId the id of the attempt's first event
     * @param lastEventId the id of the last event of the stream
     * @param incompleteBytes the size of the event that had not arrived completely
     */
    record StreamPosition(
            int status,
            Optional<ResponseFraming> framing,
            OptionalLong resumedAfter,
            OptionalLong firstEventId,
            OptionalLong lastEventId,
            int incompleteBytes) {}

    /**
     * The parts of the time to the first event.
     *
     * @param server the id of the decode server
     * @param prefillServer the id of the prefill server, "none" without a prefill
     * @param promptTokens the size of the prompt
     * @param reservedTokens the tokens reserved at the decode server
     * @param waitedMillis the time from arrival to the reservation
     * @param prefillMillis the time from the reservation to the end of the prefill
     */
    record StreamTimings(
            String server,
            String prefillServer,
            long promptTokens,
            long reservedTokens,
            long waitedMillis,
            long prefillMillis) {}

    /** Records that a request was answered with the response of a server. */
    void recordResponse(CallerRequest request, int status) {
        registry.timer("requests." + request.route().repeatability().name())
                .update(timer.nowMillis() - request.arrivedMillis(), TimeUnit.MILLISECONDS);
        registry.counter("answers." + status).inc();
    }

    /**
     * Records that this entry failed a request with an error of its own.
     *
     * @param outcomes the outcomes of all attempts at running it, in the order of their ends
     */
    void recordFailure(
            CallerRequest request,
            RequestFailure failure,
            int attempts,
            List<CallOutcome> outcomes) {
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
                Field.of("outcomes", outcomes),
                Field.of("retryAfterMillis", failure.retryAfterMillis().orElse(-1)),
                Field.of("elapsedMillis", timer.nowMillis() - request.arrivedMillis()),
                Field.of("remainingMillis", request.deadlineMillis() - timer.nowMillis()));
    }

    /** Records that a request was refused before its flow was created. */
    void recordRefusal(Optional<String> id, Optional<RouteTable> routes, RequestFailure failure) {
        registry.counter("failures." + failure.code().label()).inc();
        EventLog.log(
                EventCode.REQUEST_REFUSED,
                Field.of("request", id.orElse("none")),
                Field.of(
                        "routesVersion",
                        routes.map(RouteTable::version).map(BigDecimal::toString).orElse("none")),
                Field.of("code", failure.code().label()),
                Field.of("verdict", failure.verdict().label()),
                Field.of("message", failure.message()),
                Field.of("retryAfterMillis", failure.retryAfterMillis().orElse(-1)));
    }

    /** Records that a caller has sent no key, or none that a workspace has. */
    void recordUnknownKey(Optional<String> id, Optional<ApiKey> key) {
        registry.counter("keys.unknown").inc();
        EventLog.log(
                EventCode.API_KEY_UNKNOWN,
                Field.of("request", id.orElse("none")),
                Field.of("key", key.map(ApiKey::toString).orElse("none")));
    }

    /** Records that a request is retried. */
    void recordRetry(CallerRequest request, CallOutcome outcome, int attempts) {
        registry.counter("retries").inc();
        EventLog.log(
                EventCode.REQUEST_RETRIED,
                Field.of("request", request.id()),
                Field.of("after", outcome.name()),
                Field.of("attempts", attempts),
                Field.of("remainingMillis", request.deadlineMillis() - timer.nowMillis()));
    }

    /** Records that a request that holds a reservation got another one. */
    void recordSecondReservation(CallerRequest request, Reservation first, Reservation second) {
        registry.counter("reservations.second").inc();
        EventLog.log(
                EventCode.SECOND_RESERVATION_REFUSED,
                Field.of("request", request.id()),
                Field.of("server", first.server().id()),
                Field.of("reservation", first.id().orElse("none")),
                Field.of("refusedServer", second.server().id()),
                Field.of("refusedReservation", second.id().orElse("none")),
                Field.of("elapsedMillis", timer.nowMillis() - request.arrivedMillis()));
    }

    /** Records that the caller has disconnected. */
    void recordCallerDisconnect(CallerRequest request) {
        registry.counter("callers.gone").inc();
        EventLog.log(
                EventCode.CALLER_GONE,
                Field.of("request", request.id()),
                Field.of("elapsedMillis", timer.nowMillis() - request.arrivedMillis()));
    }
}
