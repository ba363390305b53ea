package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.daemon.internal.serial.SerialTimer;
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
 * <p>Messages from the sidecar are handled in order on the serial executor of the request. Messages
 * that arrive after the end of the attempt are dropped, so an answer of an abandoned attempt never
 * reaches the caller. All methods except those of {@link AttemptHandler} are confined to that
 * executor.
 */
final class Attempt implements AttemptHandler {

    private final AttemptId id;
    private final SidecarConnection connection;
    private final long sidecarIncarnation;
    private final SerialExecutor serial;
    private final TimerService timer;
    private final AttemptListener listener;
    private final AttemptProgress progress = new AttemptProgress();
    private final AnswerSequence sequence = new AnswerSequence();
    private String kind = "";
    private TimerService.Subscription offerTimeout = () -> {};
    private long grantExpiryMillis;

    Attempt(
            AttemptId id,
            SidecarConnection connection,
            SerialExecutor serial,
            TimerService timer,
            AttemptListener listener) {
        this.id = id;
        this.connection = connection;
        this.sidecarIncarnation = connection.incarnation().orElse(0L);
        this.serial = serial;
        this.timer = timer;
        this.listener = listener;
    }

    AttemptId id() {
        return id;
    }

    SidecarConnection connection() {
        return connection;
    }

    long sidecarIncarnation() {
        return sidecarIncarnation;
    }

    /** Returns whether the grant is still valid at the given time of the timer. */
    boolean isGrantedAt(long millis) {
        return millis < grantExpiryMillis;
    }

    Verdict verdict() {
        return progress.verdict();
    }

    long partsReceived() {
        return sequence.parts();
    }

    /** Sends an offer; the attempt fails as not run if the sidecar does not answer in time. */
    void offer(Offer offer, long timeoutMillis) {
        kind = offer.kind().name().toLowerCase();
        offerTimeout = new SerialTimer(timer, serial).once(timeoutMillis, this::onOfferTimeout);
        if (!connection.registerAndSend(offer, this, offer)) {
            fail(Verdict.NOT_RUN, ErrorCode.CONNECTION_LOST, "no connection to the sidecar");
        }
    }

    /** Sends offer and work in one message; only for work that may run more than once. */
    void dispatch(Offer offer, Work work) {
        kind = offer.kind().name().toLowerCase();
        if (!progress.dispatch()) {
            return;
        }
        if (!connection.registerAndSend(offer, this, new Message.Dispatch(offer, work))) {
            fail(Verdict.NOT_RUN, ErrorCode.CONNECTION_LOST, "no connection to the sidecar");
        }
    }

    /** Starts the granted work. */
    void commit(Work work) {
        if (!progress.commit()) {
            return;
        }
        // A grant does not outlive its incarnation: a later one has another ledger or lease.
        boolean sameSidecar =
                connection.incarnation().filter(i -> i == sidecarIncarnation).isPresent();
        if (!sameSidecar || !connection.send(new Message.Commit(id, work))) {
            fail(
                    Verdict.NOT_RUN,
                    ErrorCode.CONNECTION_LOST,
                    "the connection closed before the work was committed");
        }
    }

    /** Ends the attempt and cancels it at the sidecar, which releases what the attempt holds. */
    void cancel() {
        if (progress.abandon()) {
            finish("");
        }
        connection.send(new Message.Cancel(id));
    }

    @Override
    public void onMessage(Message message) {
        serial.executeOrEnqueue(() -> handle(message));
    }

    @Override
    public void onConnectionLost() {
        serial.execute(
                () ->
                        fail(
                                progress.verdict(),
                                ErrorCode.CONNECTION_LOST,
                                "the connection to " + connection.serverName() + " was lost"));
    }

    private void handle(Message message) {
        if (progress.phase() == Phase.ENDED) {
            return;
        }
        if (message instanceof Message.AnswerPart part) {
            handlePart(part);
        } else if (message instanceof Message.Grant grant) {
            handleGrant(grant);
        } else if (message instanceof Message.Refuse refuse) {
            handleRefusal(refuse);
        } else if (message instanceof Message.AnswerHead head) {
            listener.onHead(this, head);
        } else if (message instanceof Message.Prefilled prefilled) {
            listener.onPrefilled(this, prefilled);
        } else if (message instanceof Message.AnswerEnd end) {
            handleEnd(end);
        } else if (message instanceof Message.Failed failed) {
            fail(failed.verdict(), ErrorCode.ofLabel(failed.code()), failed.text());
        }
    }

    private void handleGrant(Message.Grant grant) {
        offerTimeout.cancel();
        grantExpiryMillis = timer.nowMillis() + grant.lapseMillis();
        if (progress.grant()) {
            listener.onGranted(this);
        }
    }

    private void handleRefusal(Message.Refuse refuse) {
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

    private void handlePart(Message.AnswerPart part) {
        if (sequence.accept(part.position())) {
            listener.onPart(this, part);
        } else if (sequence.isBroken()) {
            connection.send(new Message.Cancel(id));
            fail(Verdict.RAN, ErrorCode.INCOMPLETE_ANSWER, "a part of the answer is missing");
        }
    }

    private void handleEnd(Message.AnswerEnd end) {
        if (!sequence.end(end.parts())) {
            fail(Verdict.RAN, ErrorCode.INCOMPLETE_ANSWER, "the answer ended early");
            return;
        }
        progress.end(Verdict.RAN);
        finish("");
        listener.onCompleted(this, end);
    }

    private void onOfferTimeout() {
        if (progress.phase() == Phase.OFFERED) {
            connection.send(new Message.Cancel(id));
            fail(
                    Verdict.NOT_RUN,
                    ErrorCode.TIMEOUT,
                    connection.serverName() + " did not respond to an offer");
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
        connection.unregister(id);
        listener.onEnded(
                new AttemptRecord(
                        id.label(), connection.serverName(), kind, progress.verdict(), code));
    }
}
