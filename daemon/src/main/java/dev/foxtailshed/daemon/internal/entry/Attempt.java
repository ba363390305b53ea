package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.attempt.AnswerSequence;
import dev.foxtailshed.kernel.attempt.AttemptProgress;
import dev.foxtailshed.kernel.attempt.AttemptProgress.Phase;
import dev.foxtailshed.kernel.record.AttemptRecord;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.Offer;
import dev.foxtailshed.wire.Message.Work;
import java.util.OptionalLong;

/**
 * One attempt of a request at one sidecar.
 *
 * <p>Messages of the sidecar are taken on the serial executor of the request, in order; what
 * arrives after the end of the attempt is dropped, so that an answer of an abandoned attempt never
 * reaches the caller. All methods but those of {@link AttemptHandler} are confined to that
 * executor.
 */
final class Attempt implements AttemptHandler {

    private final AttemptId id;
    private final SidecarConnection link;
    private final long sidecarIncarnation;
    private final SerialExecutor serial;
    private final TimerService timer;
    private final AttemptListener listener;
    private final AttemptProgress progress = new AttemptProgress();
    private final AnswerSequence sequence = new AnswerSequence();
    private String kind = "";
    private TimerService.Subscription offerTimeout = () -> {};
    private long grantLapsesMillis;

    Attempt(
            AttemptId id,
            SidecarConnection link,
            SerialExecutor serial,
            TimerService timer,
            AttemptListener listener) {
        this.id = id;
        this.link = link;
        this.sidecarIncarnation = link.incarnation().orElse(0L);
        this.serial = serial;
        this.timer = timer;
        this.listener = listener;
    }

    AttemptId id() {
        return id;
    }

    SidecarConnection link() {
        return link;
    }

    long sidecarIncarnation() {
        return sidecarIncarnation;
    }

    /** Tells whether a granted place will still be held at a time. */
    boolean isGrantedAt(long millis) {
        return millis < grantLapsesMillis;
    }

    Verdict verdict() {
        return progress.verdict();
    }

    long partsSeen() {
        return sequence.parts();
    }

    /** Asks for a place; silence for longer than the given time counts as a refusal. */
    void offer(Offer offer, long timeoutMillis) {
        kind = offer.kind().name().toLowerCase();
        offerTimeout = timer.once(timeoutMillis, () -> serial.execute(this::offerTimedOut));
        if (!link.begin(offer, this, offer)) {
            fail(Verdict.NOT_RUN, ErrorCode.CONNECTION_LOST, "no connection to the sidecar");
        }
    }

    /** Offers and orders in one message; only for work that may be repeated. */
    void dispatch(Offer offer, Work work) {
        kind = offer.kind().name().toLowerCase();
        if (!progress.dispatch()) {
            return;
        }
        if (!link.begin(offer, this, new Message.Dispatch(offer, work))) {
            fail(Verdict.NOT_RUN, ErrorCode.CONNECTION_LOST, "no connection to the sidecar");
        }
    }

    /** Orders the granted work to run. */
    void commit(Work work) {
        if (!progress.commit()) {
            return;
        }
        // A connection that was replaced since the grant belongs to another ledger or lease.
        boolean sameSidecar = link.incarnation().filter(i -> i == sidecarIncarnation).isPresent();
        if (!sameSidecar || !link.send(new Message.Commit(id, work))) {
            fail(
                    Verdict.NOT_RUN,
                    ErrorCode.CONNECTION_LOST,
                    "the connection closed before the order");
        }
    }

    /** Ends the attempt and frees what it holds at the sidecar. */
    void cancel() {
        if (progress.abandon()) {
            finish("");
        }
        link.send(new Message.Cancel(id));
    }

    @Override
    public void onMessage(Message message) {
        serial.executeOrEnqueue(() -> take(message));
    }

    @Override
    public void onLinkLost() {
        serial.execute(
                () ->
                        fail(
                                progress.verdict(),
                                ErrorCode.CONNECTION_LOST,
                                "the connection to " + link.serverName() + " was lost"));
    }

    private void take(Message message) {
        if (progress.phase() == Phase.ENDED) {
            return;
        }
        if (message instanceof Message.AnswerPart part) {
            takePart(part);
        } else if (message instanceof Message.Grant grant) {
            takeGrant(grant);
        } else if (message instanceof Message.Refuse refuse) {
            takeRefusal(refuse);
        } else if (message instanceof Message.AnswerHead head) {
            listener.onHead(this, head);
        } else if (message instanceof Message.Prefilled prefilled) {
            listener.onPrefilled(this, prefilled);
        } else if (message instanceof Message.AnswerEnd end) {
            takeEnd(end);
        } else if (message instanceof Message.Failed failed) {
            fail(failed.verdict(), ErrorCode.ofLabel(failed.code()), failed.text());
        }
    }

    private void takeGrant(Message.Grant grant) {
        offerTimeout.cancel();
        grantLapsesMillis = timer.nowMillis() + grant.lapseMillis();
        if (progress.grant()) {
            listener.onGranted(this);
        }
    }

    private void takeRefusal(Message.Refuse refuse) {
        RequestFailure failure =
                RequestFailure.notRun(ErrorCode.ofLabel(refuse.reason()), refuse.text());
        OptionalLong retryAfterMillis =
                refuse.retryAfterMillis() > 0
                        ? OptionalLong.of(refuse.retryAfterMillis())
                        : OptionalLong.empty();
        fail(
                new RequestFailure(
                        Verdict.NOT_RUN, failure.code(), failure.message(), retryAfterMillis));
    }

    private void takePart(Message.AnswerPart part) {
        if (sequence.accept(part.position())) {
            listener.onPart(this, part);
        } else if (sequence.isBroken()) {
            link.send(new Message.Cancel(id));
            fail(Verdict.RAN, ErrorCode.INCOMPLETE_ANSWER, "a part of the answer is missing");
        }
    }

    private void takeEnd(Message.AnswerEnd end) {
        if (!sequence.end(end.parts())) {
            fail(Verdict.RAN, ErrorCode.INCOMPLETE_ANSWER, "the answer ended early");
            return;
        }
        progress.end(Verdict.RAN);
        finish("");
        listener.onWhole(this, end);
    }

    private void offerTimedOut() {
        if (progress.phase() == Phase.OFFERED) {
            link.send(new Message.Cancel(id));
            fail(
                    Verdict.NOT_RUN,
                    ErrorCode.TIMEOUT,
                    link.serverName() + " did not answer an offer");
        }
    }

    private void fail(Verdict verdict, ErrorCode code, String message) {
        fail(RequestFailure.of(verdict, code, message));
    }

    private void fail(RequestFailure failure) {
        if (progress.end(failure.verdict())) {
            finish(failure.code().label());
            listener.onFailed(this, failure);
        }
    }

    private void finish(String code) {
        offerTimeout.cancel();
        link.end(id);
        listener.onEnded(
                new AttemptRecord(id.label(), link.serverName(), kind, progress.verdict(), code));
    }
}
