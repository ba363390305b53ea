package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol.AttemptOptions;
import dev.foxtailshed.daemon.internal.direct.DecodeReservations.Reservation;
import dev.foxtailshed.daemon.internal.direct.DirectRequestRecorder.StreamTimes;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.direct.AdmissionQueue.Waiter;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.EventStreamSplitter;
import dev.foxtailshed.kernel.direct.FailureAction;
import dev.foxtailshed.kernel.direct.PrefillServerSelector;
import dev.foxtailshed.kernel.direct.RequestAttributes.TokenCounts;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request to a language model: reserve decode capacity, read the prompt, then stream.
 *
 * <p>The reservation comes first, so that no prompt is read for which no decode server has room. A
 * resumable stream that breaks goes on at another server after its last whole event.
 */
final class ModelFlow extends DirectFlow implements StreamRelay.Listener {

    /** How often a request is sent that servers refuse as not run. */
    private static final int MOST_SENDS = 2;

    private final ModelService service;
    private final TokenCounts demand;
    private final EventStreamSplitter boundary = new EventStreamSplitter();
    private Optional<Waiter<ModelFlow>> waiter = Optional.empty();
    private Optional<Reservation> reservation = Optional.empty();
    private Optional<DirectServer> claimed = Optional.empty();
    private Optional<BackendCall> prefill = Optional.empty();
    private Optional<CachedPrompt> cached = Optional.empty();
    private Optional<StreamRelay> relay = Optional.empty();
    private final Set<DirectServer.Incarnation> prefillTried = new HashSet<>();
    private int prefills;
    private boolean resuming;
    private boolean reservationUsed;
    private long reservedMillis;
    private long prefillSentMillis;
    private long prefilledMillis;
    private String prefillServer = "none";

    ModelFlow(
            DirectContext context,
            CallerRequest request,
            CallerStream caller,
            ModelService service,
            TokenCounts demand) {
        super(context, request, caller);
        this.service = service;
        this.demand = demand;
    }

    /**
     * A prompt that was read and not yet fetched.
     *
     * @param server where it was read
     * @param handle the handle of its KV cache
     */
    private record CachedPrompt(DirectServer server, String handle) {
        String source() {
            return server.address() + "/" + handle;
        }
    }

    @Override
    void begin() {
        long nowMillis = context.timer().nowMillis();
        boolean late = service.isLate(request, nowMillis);
        long giveUpMillis = service.giveUpMillis(request, late || resuming, nowMillis);
        Optional<Waiter<ModelFlow>> place =
                service.reservations().join(this, request.route().priority(), late, giveUpMillis);
        if (place.isEmpty()) {
            refuse(
                    "no prefill or decode capacity in time or at all: "
                            + service.reservations().waiting()
                            + " wait");
        } else if (reservation.isEmpty()) {
            waiter = place;
        }
    }

    long tokensToReserve() {
        return service.tokensToReserve(demand);
    }

    long reservationMillis() {
        return service.reservationMillis();
    }

    /** Claims a place at a prefill server; false if the prompt has to wait for one. */
    boolean claimPrefill() {
        if (cached.isPresent() || claimed.isPresent()) {
            return true;
        }
        Optional<PrefillServerSelector.Claim> claim =
                service.claimPrefill(request, demand, prefillTried);
        claimed = claim.flatMap(PrefillServerSelector.Claim::server);
        return claim.isPresent();
    }

    /** Gives the place at the prefill server back, since there is no decode capacity yet. */
    void releasePrefillClaim() {
        claimed.ifPresent(
                server -> service.prefillSelector().recordEnd(server, demand.promptTokens()));
        claimed = Optional.empty();
    }

    /** Its time in the queue is up. */
    void waitTimeExpired() {
        waiter = Optional.empty();
        refuse("no prefill or decode capacity in time");
    }

    /** Decode capacity was reserved. */
    void reserved(Reservation granted) {
        waiter = Optional.empty();
        reservation = Optional.of(granted);
        reservationUsed = false;
        reservedMillis = context.timer().nowMillis();
        if (cached.isPresent()) {
            stream();
        } else {
            readPrompt();
        }
    }

    private void refuse(String message) {
        fail(message, false, service.retryAfterMillis(remainingMillis()));
    }

    private void readPrompt() {
        Optional<DirectServer> place = claimed;
        releasePrefillClaim();
        Optional<DirectServer> server =
                place.filter(service::isUsable)
                        .or(() -> service.choosePrefill(prefillTried, context.timer().nowMillis()));
        if (server.isEmpty()) {
            stream();
            return;
        }
        boolean repeat = prefills > 0;
        if (repeat && !budget().tryRetry(context.timer().nowMillis())) {
            fail("the budget for repeats is used up");
            return;
        }
        prefills++;
        prefillTried.add(server.get().incarnation());
        Prefill listener = new Prefill(server.get());
        prefill = Optional.of(listener.call);
        service.prefillSelector().recordStart(server.get(), demand.promptTokens());
        prefillSentMillis = context.timer().nowMillis();
        listener.call.send();
        listener.call.limitSilence(service.prefillSilenceMillis(demand));
    }

    private void prefilled(DirectServer server, Optional<String> handle, CallOutcome outcome) {
        prefill = Optional.empty();
        service.prefillSelector().recordEnd(server, demand.promptTokens());
        service.reservations().prefillEnded();
        if (isFinished()) {
            handle.ifPresent(unused -> service.releaseCache(server, unused));
        } else if (handle.isPresent()) {
            cached = Optional.of(new CachedPrompt(server, handle.get()));
            prefilledMillis = context.timer().nowMillis();
            long tookMillis = prefilledMillis - prefillSentMillis;
            service.demand().recordPrefill(demand.promptTokens(), tookMillis);
            service.prefillSelector()
                    .recordPrefill(server, demand.promptTokens(), tookMillis, prefilledMillis);
            prefillServer = server.id();
            stream();
        } else if (remainingMillis() > 0) {
            readPrompt();
        } else {
            fail("the prompt could not be read: " + outcome);
        }
    }

    private void stream() {
        Reservation held = reservation.orElseThrow();
        if (!service.isUsable(held.server())) {
            // It began to leave while the prompt was read; nothing new may reach it.
            reservation = Optional.empty();
            service.reservations().giveBack(held);
            begin();
            return;
        }
        OptionalLong resumeAfter = resuming ? boundary.lastEventId() : OptionalLong.empty();
        AttemptOptions terms =
                new AttemptOptions(
                        held.server().id(),
                        remainingMillis(),
                        false,
                        held.id(),
                        cached.map(CachedPrompt::source),
                        resumeAfter);
        if (attempts() > 0 && !budget().tryRetry(context.timer().nowMillis())) {
            fail("the budget for repeats is used up");
            return;
        }
        sending(held.server());
        reservationUsed = true;
        StreamRelay next = new StreamRelay(context, this, held.server(), terms, boundary, this);
        relay = Optional.of(next);
        next.send();
    }

    @Override
    public void onFirstEvent(StreamRelay current) {
        cached.ifPresent(prompt -> service.prefillSelector().recordUsedHandle(prompt.server()));
        cached = Optional.empty();
        service.reservations().recordRunStart(current.server());
        context.journal()
                .streamStarted(
                        request,
                        new StreamTimes(
                                current.server().id(),
                                prefillServer,
                                demand.promptTokens(),
                                tokensToReserve(),
                                reservedMillis - request.arrivedMillis(),
                                Math.max(0, prefilledMillis - reservedMillis)));
        service.firstEvent(demand, context.timer().nowMillis() - reservedMillis);
    }

    @Override
    public void onEnd(StreamRelay current, CallOutcome outcome, String detail) {
        relay = Optional.empty();
        attemptEnded(current.server(), outcome);
        reservationUsed = outcome != CallOutcome.REFUSED && outcome != CallOutcome.UNREACHABLE;
        if (isFinished()) {
            return;
        }
        boolean complete = outcome == CallOutcome.ANSWERED || outcome == CallOutcome.SERVER_ERROR;
        if (complete) {
            service.streamed(demand, current.elapsedMillis());
            context.journal()
                    .streamEnded(
                            request,
                            current.server().id(),
                            current.elapsedMillis(),
                            boundary.eventCount());
            endAnswer(current.status());
        } else {
            handleFailedAttempt(current.server(), outcome, detail);
        }
    }

    private void handleFailedAttempt(DirectServer server, CallOutcome outcome, String detail) {
        if (outcome == CallOutcome.REFUSED) {
            service.recordRunRefusal(server, cached.map(CachedPrompt::server));
        }
        boolean midway = isAnswerStarted();
        boolean resumable = !midway || boundary.lastEventId().isPresent() || !boundary.hasEvents();
        releaseAll();
        prefillTried.clear();
        boolean notRun = outcome == CallOutcome.REFUSED && verdict() == Verdict.NOT_RUN;
        boolean worthAnotherSend = !service.reservations().isRefusingRuns(server);
        if (notRun && serversLeft() <= 0 && attempts() < MOST_SENDS && worthAnotherSend) {
            service.reservations().reserveAgain(this, server);
        } else if (resumable && nextStep(outcome) == FailureAction.TRY_ANOTHER) {
            resuming = midway;
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
        waiter.ifPresent(service.reservations()::leave);
        waiter = Optional.empty();
        releasePrefillClaim();
        prefill.ifPresent(BackendCall::cancel);
        relay.ifPresent(StreamRelay::cancel);
        releaseAll();
    }

    private void releaseAll() {
        cached.ifPresent(prompt -> service.releaseCache(prompt.server(), prompt.handle()));
        cached = Optional.empty();
        Optional<Reservation> held = reservation;
        reservation = Optional.empty();
        held.ifPresent(
                reservationUsed ? service.reservations()::ended : service.reservations()::giveBack);
    }

    @Override
    boolean hasAttemptUnderWay() {
        return relay.isPresent();
    }

    /** One attempt to have the prompt read. */
    private final class Prefill implements BackendCall.Listener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final DirectServer server;
        private final BackendCall call;

        Prefill(DirectServer server) {
            this.server = server;
            AttemptOptions terms =
                    new AttemptOptions(
                            server.id(),
                            remainingMillis(),
                            true,
                            Optional.empty(),
                            Optional.empty(),
                            OptionalLong.empty());
            call = new BackendCall(context, request, server, terms, this);
        }

        @Override
        public void onHead(int status, HttpFields headers) {
            // The handle stands in the body.
        }

        @Override
        public void onBytes(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void onEnd(CallOutcome outcome, String detail) {
            Optional<String> handle =
                    outcome == CallOutcome.ANSWERED
                            ? context.platform().servers().cacheHandle(body.toByteArray())
                            : Optional.empty();
            prefilled(server, handle, outcome);
        }
    }
}
