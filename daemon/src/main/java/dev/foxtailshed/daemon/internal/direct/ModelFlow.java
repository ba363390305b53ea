package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.daemon.internal.direct.DecodeReservations.Reservation;
import dev.foxtailshed.daemon.internal.direct.DirectRequestRecorder.StreamTimings;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Claim;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.EventStreamSplitter;
import dev.foxtailshed.kernel.direct.FailureAction;
import dev.foxtailshed.kernel.direct.PrefillServerSelector;
import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import dev.foxtailshed.kernel.direct.workspace.Workspace;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;

/**
 * A request to a language model: reserves decode capacity, prefills the prompt, then streams.
 *
 * <p>The reservation comes first, so that no prompt is prefilled for which no decode server has
 * room. A resumable stream that breaks continues at another server after its last complete event.
 */
final class ModelFlow extends DirectFlow implements StreamRelay.Listener {

    /** Maximum number of attempts at running a request that servers refuse as not run. */
    private static final int MAXIMUM_ATTEMPTS = 2;

    /** Largest response to a prefill, which names a handle. */
    private static final int MAXIMUM_HANDLE_BYTES = 64 << 10;

    private final ModelService service;
    private final TokenCounts tokenCounts;
    private final EventStreamSplitter splitter;
    private Optional<Waiter<ModelFlow>> waiter = Optional.empty();
    private Optional<Reservation> reservation = Optional.empty();
    private Optional<DirectServer> claimedPrefillServer = Optional.empty();
    private Optional<BackendCall> prefillCall = Optional.empty();
    private Optional<CachedPrompt> cachedPrompt = Optional.empty();
    private Optional<StreamRelay> relay = Optional.empty();
    private final Set<DirectServer.Incarnation> triedPrefillServers = new HashSet<>();
    private int prefillAttempts;
    private boolean resuming;
    private boolean reservationUsed;
    private long reservedAtMillis;
    private long prefillSentAtMillis;
    private long prefilledAtMillis;
    private String prefillServer = "none";

    ModelFlow(
            DirectContext context,
            CallerRequest request,
            CallerStream caller,
            CrashTracker crashTracker,
            ModelService service,
            TokenCounts tokenCounts) {
        super(context, request, caller, crashTracker, service::decodeServers);
        this.service = service;
        this.tokenCounts = tokenCounts;
        this.splitter = new EventStreamSplitter(newEventSequence());
    }

    /**
     * A prefilled prompt whose KV cache has not been fetched yet.
     *
     * @param server the prefill server that holds the KV cache
     * @param handle the handle of the KV cache
     */
    private record CachedPrompt(DirectServer server, String handle) {
        String source() {
            return server.address() + "/" + handle;
        }
    }

    @Override
    void begin() {
        if (failIfBlocked()) {
            return;
        }
        long nowMillis = context.timer().nowMillis();
        boolean late = service.isLate(request, nowMillis);
        Claim claim =
                new Claim(
                        request.workspace().map(Workspace::name),
                        request.priority(),
                        late,
                        service.giveUpAtMillis(request, late || resuming, nowMillis),
                        tokensToReserve());
        Optional<Waiter<ModelFlow>> enqueued = service.reservations().enqueue(this, claim);
        if (enqueued.isEmpty()) {
            refuse(
                    "no prefill or decode capacity in time, or none at all: "
                            + service.reservations().queueLength()
                            + " requests waiting");
        } else if (reservation.isEmpty()) {
            waiter = enqueued;
        }
    }

    long tokensToReserve() {
        return service.tokensToReserve(tokenCounts);
    }

    /** Returns whether requests of several workspaces compete for the same servers. */
    boolean competesWithWorkspaces() {
        return request.identity().isPresent();
    }

    /** Returns whether the request goes before others that compete for the same servers. */
    boolean isUrgent() {
        return request.isUrgent();
    }

    long reservationMillis() {
        return service.reservationMillis();
    }

    /** Claims capacity of a prefill server; returns false if the prompt has to wait for it. */
    boolean claimPrefill() {
        if (cachedPrompt.isPresent() || claimedPrefillServer.isPresent()) {
            return true;
        }
        Optional<PrefillServerSelector.Claim> claim =
                service.claimPrefill(request, tokenCounts, triedPrefillServers);
        claimedPrefillServer = claim.flatMap(PrefillServerSelector.Claim::server);
        return claim.isPresent();
    }

    /** Releases the claimed capacity of the prefill server. */
    void releasePrefillClaim() {
        claimedPrefillServer.ifPresent(
                server -> service.prefillSelector().recordEnd(server, tokenCounts.promptTokens()));
        claimedPrefillServer = Optional.empty();
    }

    /** Refuses the request because its waiting time in the queue has expired, or will have. */
    void onWaitExpired() {
        waiter = Optional.empty();
        refuse("no prefill or decode capacity in time");
    }

    /** Refuses the request because no server is left that decodes. */
    void onNoServer() {
        waiter = Optional.empty();
        refuse("no server of " + request.service().name() + " may get requests");
    }

    /** Continues with a granted reservation of decode capacity. */
    void onReserved(Reservation granted) {
        if (reservation.isPresent()) {
            // Each reservation leads to a run, also of a request that may run only once.
            context.recorder().recordSecondReservation(request, reservation.get(), granted);
            service.reservations().release(granted);
            return;
        }
        waiter = Optional.empty();
        reservation = Optional.of(granted);
        reservationUsed = false;
        reservedAtMillis = context.timer().nowMillis();
        if (!service.isUsable(granted.server())) {
            reserveElsewhere(granted);
        } else if (cachedPrompt.isPresent()) {
            startStream();
        } else {
            startPrefill();
        }
    }

    private void refuse(String message) {
        fail(message, false, service.retryAfterMillis(remainingMillis()));
    }

    private void startPrefill() {
        if (failIfBlocked()) {
            return;
        }
        Optional<DirectServer> claimed = claimedPrefillServer;
        releasePrefillClaim();
        Optional<DirectServer> server =
                claimed.filter(service::isUsable)
                        .or(
                                () ->
                                        service.choosePrefillServer(
                                                triedPrefillServers, context.timer().nowMillis()));
        if (server.isEmpty()) {
            startStream();
            return;
        }
        boolean isRetry = prefillAttempts > 0;
        if (isRetry && !retryBudget().tryRetry(context.timer().nowMillis())) {
            fail("the retry budget is exhausted");
            return;
        }
        prefillAttempts++;
        triedPrefillServers.add(server.get().incarnation());
        PrefillAttempt attempt = new PrefillAttempt(server.get());
        prefillCall = Optional.of(attempt.call);
        service.prefillSelector().recordStart(server.get(), tokenCounts.promptTokens());
        prefillSentAtMillis = context.timer().nowMillis();
        attempt.call.send();
        attempt.call.setResponseTimeout(service.prefillTimeoutMillis(tokenCounts));
    }

    private void onPrefillEnd(DirectServer server, Optional<String> handle, CallOutcome outcome) {
        prefillCall = Optional.empty();
        service.prefillSelector().recordEnd(server, tokenCounts.promptTokens());
        service.reservations().onPrefillEnd();
        if (isFinished()) {
            handle.ifPresent(unused -> service.releaseCache(server, unused));
        } else if (handle.isPresent()) {
            cachedPrompt = Optional.of(new CachedPrompt(server, handle.get()));
            prefilledAtMillis = context.timer().nowMillis();
            long tookMillis = prefilledAtMillis - prefillSentAtMillis;
            service.costEstimator().recordPrefill(tokenCounts.promptTokens(), tookMillis);
            service.prefillSelector()
                    .recordPrefill(
                            server, tokenCounts.promptTokens(), tookMillis, prefilledAtMillis);
            prefillServer = server.id();
            startStream();
        } else if (remainingMillis() > 0) {
            startPrefill();
        } else {
            fail("the prefill failed: " + outcome);
        }
    }

    private void reserveElsewhere(Reservation unusable) {
        reservation = Optional.empty();
        service.reservations().release(unusable);
        begin();
    }

    private void startStream() {
        Reservation held = reservation.orElseThrow();
        if (!service.isUsable(held.server())) {
            // The server started to drain during the prefill; it must not get new requests.
            reserveElsewhere(held);
            return;
        }
        if (failIfBlocked()) {
            return;
        }
        OptionalLong resumeAfter = resuming ? splitter.lastEventId() : OptionalLong.empty();
        AttemptOptions options =
                new AttemptOptions(
                        held.server().id(),
                        remainingMillis(),
                        false,
                        held.id(),
                        cachedPrompt.map(CachedPrompt::source),
                        resumeAfter,
                        request.identity());
        if (attempts() > 0 && !retryBudget().tryRetry(context.timer().nowMillis())) {
            fail("the retry budget is exhausted");
            return;
        }
        recordAttemptStart(held.server());
        reservationUsed = true;
        StreamRelay next = new StreamRelay(context, this, held.server(), options, splitter, this);
        relay = Optional.of(next);
        next.send();
    }

    @Override
    public void onFirstEvent(StreamRelay current) {
        cachedPrompt.ifPresent(
                prompt -> service.prefillSelector().recordUsedHandle(prompt.server()));
        cachedPrompt = Optional.empty();
        if (HttpStatus.isSuccess(current.status())) {
            recordAnswer();
        }
        service.reservations().recordRunStart(current.server());
        context.recorder()
                .recordStreamStart(
                        request,
                        new StreamTimings(
                                current.server().id(),
                                prefillServer,
                                tokenCounts.promptTokens(),
                                tokensToReserve(),
                                reservedAtMillis - request.arrivedMillis(),
                                Math.max(0, prefilledAtMillis - reservedAtMillis)));
        service.recordFirstEvent(tokenCounts, context.timer().nowMillis() - reservedAtMillis);
    }

    @Override
    public void onEnd(StreamRelay current, CallOutcome outcome, String detail) {
        relay = Optional.empty();
        recordAttemptEnd(current.call(), outcome, splitter.hasEvents(), splitter.eventCountOfRun());
        reservationUsed = outcome != CallOutcome.REFUSED && outcome != CallOutcome.UNREACHABLE;
        if (isFinished()) {
            return;
        }
        boolean complete = outcome == CallOutcome.ANSWERED || outcome == CallOutcome.SERVER_ERROR;
        if (complete) {
            service.recordStream(tokenCounts, current.elapsedMillis());
            context.recorder()
                    .recordStreamEnd(
                            request,
                            current.server().id(),
                            current.elapsedMillis(),
                            splitter.eventCount(),
                            current.position());
            endResponse(current.status());
        } else {
            handleFailedAttempt(current.server(), outcome, detail);
        }
    }

    private void handleFailedAttempt(DirectServer server, CallOutcome outcome, String detail) {
        if (outcome == CallOutcome.REFUSED) {
            service.recordRunRefusal(server, cachedPrompt.map(CachedPrompt::server));
        }
        boolean responseStarted = isResponseStarted();
        boolean resumable =
                !responseStarted || splitter.lastEventId().isPresent() || !splitter.hasEvents();
        releaseAll();
        triedPrefillServers.clear();
        boolean notRun = outcome == CallOutcome.REFUSED && verdict() == Verdict.NOT_RUN;
        boolean serverAcceptsRuns = !service.reservations().isRefusingRuns(server);
        if (notRun
                && remainingServers() <= 0
                && attempts() < MAXIMUM_ATTEMPTS
                && serverAcceptsRuns) {
            service.reservations().reserveAgain(this, server);
        } else if (resumable && chooseAction(outcome) == FailureAction.TRY_ANOTHER) {
            resuming = responseStarted;
            begin();
        } else {
            fail(
                    detail,
                    outcome == CallOutcome.SILENT,
                    service.retryAfterMillis(remainingMillis()));
        }
    }

    @Override
    void cancelWork() {
        waiter.ifPresent(service.reservations()::removeWaiter);
        waiter = Optional.empty();
        releasePrefillClaim();
        prefillCall.ifPresent(BackendCall::cancel);
        relay.ifPresent(StreamRelay::cancel);
        releaseAll();
    }

    private void releaseAll() {
        cachedPrompt.ifPresent(prompt -> service.releaseCache(prompt.server(), prompt.handle()));
        cachedPrompt = Optional.empty();
        Optional<Reservation> held = reservation;
        reservation = Optional.empty();
        held.ifPresent(
                reservationUsed
                        ? service.reservations()::recordRequestEnd
                        : service.reservations()::release);
    }

    @Override
    boolean hasAttemptInFlight() {
        return relay.isPresent();
    }

    @Override
    boolean hasReachedServer() {
        return prefillAttempts > 0 || super.hasReachedServer();
    }

    /** One attempt to prefill the prompt. */
    private final class PrefillAttempt implements BackendCall.Listener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final DirectServer server;
        private final BackendCall call;

        PrefillAttempt(DirectServer server) {
            this.server = server;
            AttemptOptions options =
                    new AttemptOptions(
                            server.id(),
                            remainingMillis(),
                            true,
                            Optional.empty(),
                            Optional.empty(),
                            OptionalLong.empty(),
                            request.identity());
            call = new BackendCall(context, request, server, options, this);
        }

        @Override
        public void onHead(int status, HttpFields headers) {
            // The handle is in the body.
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (body.size() + bytes.length > MAXIMUM_HANDLE_BYTES) {
                call.abort(CallOutcome.BROKEN, "the response to a prefill is too large");
            } else {
                body.writeBytes(bytes);
            }
        }

        @Override
        public void onEnd(CallOutcome outcome, String detail) {
            Optional<String> handle =
                    outcome == CallOutcome.ANSWERED
                            ? context.platform()
                                    .serverProtocol()
                                    .parseCacheHandle(body.toByteArray())
                            : Optional.empty();
            recordBrokenStart(call);
            onPrefillEnd(server, handle, outcome);
        }
    }
}
