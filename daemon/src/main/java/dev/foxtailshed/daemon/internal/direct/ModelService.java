package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import dev.foxtailshed.kernel.direct.FirstEventEstimator;
import dev.foxtailshed.kernel.direct.PrefillServerSelector;
import dev.foxtailshed.kernel.direct.PrefillTokenLimit;
import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import dev.foxtailshed.kernel.direct.RequestSizeEstimator;
import dev.foxtailshed.kernel.direct.ReservationSizer;
import dev.foxtailshed.kernel.direct.RetryAfterCalculator;
import dev.foxtailshed.kernel.direct.StageChangeTracker;
import dev.foxtailshed.kernel.direct.StageCostEstimator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * The state that the requests of this entry to one model service share. Runs on the entry's loop.
 */
final class ModelService {

    /** Longest lifetime of a reservation; a prefill takes a fraction of it. */
    private static final long MAXIMUM_RESERVATION_MILLIS = 2_000;

    /** Slowest prefill that is waited for, in tokens per millisecond. */
    private static final double MINIMUM_PREFILL_TOKENS_PER_MILLI = 4;

    /** Shortest time that a prefill server gets before another is tried. */
    private static final long MINIMUM_PREFILL_TIMEOUT_MILLIS = 1_500;

    private final DirectContext context;
    private final EngineControlClient controlClient;
    private final String name;
    private final DecodeReservations reservations;
    private final PrefillServerSelector prefillSelector;
    private final FirstEventEstimator firstEventEstimator = new FirstEventEstimator();
    private final RequestSizeEstimator sizes;
    private final StageChangeTracker stageChanges;
    private final StageCostEstimator costEstimator;
    private final ReservationSizer reservationSizer;
    private final PrefillTokenLimit prefillTokenLimit = new PrefillTokenLimit();
    private final RetryAfterCalculator retryAfterCalculator = new RetryAfterCalculator();
    private final IntSupplier entryCount;

    ModelService(
            DirectContext context,
            EngineControlClient controlClient,
            String name,
            String zone,
            DecodeReservations reservations,
            RequestSizeEstimator sizes,
            StageChangeTracker stageChanges,
            IntSupplier entryCount) {
        this.context = context;
        this.controlClient = controlClient;
        this.name = name;
        this.reservations = reservations;
        this.sizes = sizes;
        this.stageChanges = stageChanges;
        this.costEstimator = new StageCostEstimator(sizes);
        this.reservationSizer = new ReservationSizer(sizes);
        this.prefillSelector =
                new PrefillServerSelector(zone, costEstimator::millisPerToken, context.random());
        this.entryCount = entryCount;
    }

    StageCostEstimator costEstimator() {
        return costEstimator;
    }

    DecodeReservations reservations() {
        return reservations;
    }

    PrefillServerSelector prefillSelector() {
        return prefillSelector;
    }

    /** Claims capacity of a prefill server; empty if the prompt has to wait. */
    Optional<PrefillServerSelector.Claim> claimPrefill(
            CallerRequest request, TokenCounts tokenCounts, Set<Incarnation> tried) {
        long limitTokens =
                prefillTokenLimit.tokensPerServer(
                        request.route().targetLatencyMillis(),
                        costEstimator.millisPerToken(),
                        entryCount.getAsInt());
        List<DirectServer> servers = prefillServers();
        List<DirectServer> withCapacity =
                context.rateLimits().withCapacity(servers, context.timer().nowMillis());
        if (withCapacity.isEmpty() && !servers.isEmpty()) {
            return Optional.empty();
        }
        return prefillSelector.claim(
                withCapacity,
                tried,
                context.health(),
                context.timer().nowMillis(),
                new PrefillServerSelector.Prompt(tokenCounts.promptTokens(), limitTokens));
    }

    Optional<DirectServer> choosePrefillServer(Set<Incarnation> tried, long nowMillis) {
        return prefillSelector.choose(
                context.rateLimits().withCapacity(prefillServers(), nowMillis),
                tried,
                context.health(),
                nowMillis);
    }

    /** Returns whether a server may still get new requests. */
    boolean isUsable(DirectServer server) {
        return context.view().servers().forService(name).stream()
                .filter(usable -> usable.incarnation().equals(server.incarnation()))
                .anyMatch(usable -> !stageChanges.isChanging(usable, context.timer().nowMillis()));
    }

    /** Returns the servers that may get new streams. */
    List<DirectServer> decodeServers() {
        return stageChanges.withoutAnnounced(
                context.view().servers().decodeCapable(name), context.timer().nowMillis());
    }

    private List<DirectServer> prefillServers() {
        return stageChanges.withoutAnnounced(
                context.view().servers().forService(name, Stage.PREFILL),
                context.timer().nowMillis());
    }

    /**
     * Records that a decode server refused a run despite its reservation. Either the KV cache
     * handle had expired, or the server refuses all runs; the latter is assumed from the second
     * consecutive refusal on.
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

    /** Records that a server was or will be commanded to change its stage. */
    void recordNotice(StageChangeNotices.Notice notice) {
        long nowMillis = context.timer().nowMillis();
        if (notice.durationMillis() <= 0) {
            stageChanges.withdraw(notice.server());
            return;
        }
        stageChanges.announce(
                notice.server(),
                new StageChangeTracker.Announcement(
                        notice.stage(),
                        nowMillis + notice.leadMillis(),
                        nowMillis + notice.durationMillis()));
    }

    /** Discards the state of removed servers. */
    void retain(List<DirectServer> usable) {
        reservations.retain(usable);
        prefillSelector.retain(usable);
        stageChanges.retain(usable);
    }

    void releaseCache(DirectServer server, String handle) {
        controlClient.send(
                server,
                context.platform().serverProtocol().newReleaseCacheCall(handle),
                reply -> {});
    }

    /** Returns whether a request can no longer meet its latency objective. */
    boolean isLate(CallerRequest request, long nowMillis) {
        return firstEventEstimator.isLate(
                request.route(), request.attributes(), nowMillis - request.arrivedMillis());
    }

    /** Returns the time until which a request may wait for decode capacity. */
    long giveUpAtMillis(CallerRequest request, boolean late, long nowMillis) {
        long limitMillis =
                firstEventEstimator.waitLimitMillis(
                        request.route(),
                        request.attributes(),
                        nowMillis - request.arrivedMillis(),
                        late);
        return Math.min(nowMillis + limitMillis, request.deadlineMillis());
    }

    void recordFirstEvent(TokenCounts tokenCounts, long sinceReservationMillis) {
        firstEventEstimator.recordFirstEvent(tokenCounts.promptTokens(), sinceReservationMillis);
    }

    /** Returns the number of tokens to reserve for a request at a decode server. */
    long tokensToReserve(TokenCounts tokenCounts) {
        return reservationSizer.tokensToReserve(tokenCounts);
    }

    /** Records a request that has arrived. */
    void recordArrival(TokenCounts tokenCounts) {
        sizes.recordArrival(tokenCounts);
    }

    /** Records a completed stream. */
    void recordStream(TokenCounts tokenCounts, long millis) {
        costEstimator.recordStream(tokenCounts.likelyOutputTokens(), millis);
    }

    long reservationMillis() {
        return context.view()
                .routes()
                .flatMap(routes -> routes.service(name))
                .flatMap(service -> service.engine())
                .map(
                        engine ->
                                Math.min(
                                        MAXIMUM_RESERVATION_MILLIS,
                                        engine.reservationLimitMillis()))
                .orElse(MAXIMUM_RESERVATION_MILLIS);
    }

    long prefillTimeoutMillis(TokenCounts tokenCounts) {
        return MINIMUM_PREFILL_TIMEOUT_MILLIS
                + (long) (tokenCounts.promptTokens() / MINIMUM_PREFILL_TOKENS_PER_MILLI);
    }

    /** Returns the Retry-After for a refused caller, in milliseconds. */
    long retryAfterMillis(long remainingMillis) {
        return retryAfterCalculator.retryAfterMillis(
                reservations.drainMillis(), remainingMillis, context.random().getAsDouble());
    }
}
