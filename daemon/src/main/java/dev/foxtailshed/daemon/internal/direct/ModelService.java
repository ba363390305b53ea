package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.FirstEventEstimator;
import dev.foxtailshed.kernel.direct.PrefillServerSelector;
import dev.foxtailshed.kernel.direct.PrefillTokenLimit;
import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import dev.foxtailshed.kernel.direct.ReservationSizer;
import dev.foxtailshed.kernel.direct.RetryAfterCalculator;
import dev.foxtailshed.kernel.direct.StageCostEstimator;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/** What the requests to one model service share at this entry. Runs on the entry's loop. */
final class ModelService {

    /** Longest reservation asked for; a prompt is read in a fraction of this. */
    private static final long RESERVATION_MILLIS = 2_000;

    /** Slowest prompt reading that is waited for, in tokens a millisecond. */
    private static final double SLOWEST_TOKENS_PER_MILLI = 4;

    /** Least time that a prefill server gets before another is tried. */
    private static final long LEAST_PREFILL_MILLIS = 1_500;

    private final DirectContext context;
    private final EngineControlClient control;
    private final String name;
    private final DecodeReservations reservations;
    private final PrefillServerSelector prefillSelector;
    private final FirstEventEstimator times = new FirstEventEstimator();
    private final StageCostEstimator demand = new StageCostEstimator();
    private final ReservationSizer reservationSize = new ReservationSizer();
    private final PrefillTokenLimit allowance = new PrefillTokenLimit();
    private final RetryAfterCalculator returnTimes = new RetryAfterCalculator();
    private final IntSupplier entries;

    ModelService(
            DirectContext context,
            EngineControlClient control,
            String name,
            String zone,
            DecodeReservations reservations,
            IntSupplier entries) {
        this.context = context;
        this.control = control;
        this.name = name;
        this.reservations = reservations;
        this.prefillSelector =
                new PrefillServerSelector(zone, demand::millisPerToken, context.random());
        this.entries = entries;
    }

    StageCostEstimator demand() {
        return demand;
    }

    DecodeReservations reservations() {
        return reservations;
    }

    PrefillServerSelector prefillSelector() {
        return prefillSelector;
    }

    /** Claims a place at a prefill server; empty if the prompt has to wait. */
    Optional<PrefillServerSelector.Claim> claimPrefill(
            CallerRequest request, TokenCounts prompt, Set<Incarnation> tried) {
        long limitTokens =
                allowance.tokensPerServer(
                        request.route().targetLatencyMillis(),
                        demand.millisPerToken(),
                        entries.getAsInt());
        return prefillSelector.claim(
                context.view().servers().of(name, Stage.PREFILL),
                tried,
                context.health(),
                context.timer().nowMillis(),
                new PrefillServerSelector.Prompt(prompt.promptTokens(), limitTokens));
    }

    Optional<DirectServer> choosePrefill(Set<Incarnation> tried, long nowMillis) {
        return prefillSelector.choose(
                context.view().servers().of(name, Stage.PREFILL),
                tried,
                context.health(),
                nowMillis);
    }

    /** Tells whether a server may still get new requests. */
    boolean isUsable(DirectServer server) {
        return context.view().servers().of(name).stream()
                .anyMatch(usable -> usable.incarnation().equals(server.incarnation()));
    }

    /**
     * Notes a run that was refused in spite of its reservation. Either the handle had lapsed, or
     * the decode server takes no runs; after a second refusal in a row it is the latter.
     */
    void recordRunRefusal(DirectServer decode, Optional<DirectServer> prefill) {
        reservations.recordRunRefusal(decode);
        if (!reservations.isRefusingRuns(decode)) {
            prefill.ifPresent(
                    server ->
                            prefillSelector.recordExpiredHandle(
                                    server, context.timer().nowMillis()));
        }
    }

    /** Notes that a server was ordered to change its stage and serves nothing until then. */
    void ordered(DirectServer server, long untilMillis) {
        reservations.excludeUntil(server, untilMillis);
        prefillSelector.excludeUntil(server, untilMillis);
    }

    void releaseCache(DirectServer server, String handle) {
        control.send(server, context.platform().servers().releaseCache(handle), reply -> {});
    }

    /** Tells whether a request has missed its objective before its work begins. */
    boolean isLate(CallerRequest request, long nowMillis) {
        return times.isLate(request.route(), request.terms(), nowMillis - request.arrivedMillis());
    }

    /** Tells until when a request may wait for decode capacity. */
    long giveUpMillis(CallerRequest request, boolean late, long nowMillis) {
        long limit =
                times.waitLimitMillis(
                        request.route(),
                        request.terms(),
                        nowMillis - request.arrivedMillis(),
                        late);
        return Math.min(nowMillis + limit, request.deadlineMillis());
    }

    void firstEvent(TokenCounts demand, long sinceReservationMillis) {
        times.recordFirstEvent(demand.promptTokens(), sinceReservationMillis);
    }

    /** Returns the tokens that are reserved for a request at a decode server. */
    long tokensToReserve(TokenCounts request) {
        return reservationSize.tokensToReserve(request);
    }

    /** Notes a stream that ended. */
    void streamed(TokenCounts request, long millis) {
        demand.recordStream(reservationSize.meanHeldTokens(request), millis);
    }

    long reservationMillis() {
        return context.view()
                .routes()
                .flatMap(routes -> routes.service(name))
                .flatMap(service -> service.engine())
                .map(engine -> Math.min(RESERVATION_MILLIS, engine.reservationLimitMillis()))
                .orElse(RESERVATION_MILLIS);
    }

    long prefillSilenceMillis(TokenCounts demand) {
        return LEAST_PREFILL_MILLIS + (long) (demand.promptTokens() / SLOWEST_TOKENS_PER_MILLI);
    }

    /** Tells when a refused caller should come back. */
    long retryAfterMillis(long remainingMillis) {
        return returnTimes.retryAfterMillis(
                reservations.drainMillis(), remainingMillis, context.random().getAsDouble());
    }
}
