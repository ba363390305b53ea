package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.direct.CrashGuard.Admission;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.suspects.BrokenRun;
import dev.foxtailshed.kernel.suspects.RequestTraits;
import dev.foxtailshed.kernel.suspects.RunProgress;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks one request's involvement in crashes of servers: whether it may be sent to one, and what
 * its attempts show. Runs on the entry's loop.
 */
final class CrashTracker {

    private final CrashGuard guard;
    private final TimerService timer;
    private final CallerRequest request;
    private Optional<RequestTraits> traits = Optional.empty();
    private OptionalLong trialMillis = OptionalLong.empty();
    private boolean answered;
    private RunProgress progress = new RunProgress();

    CrashTracker(CrashGuard guard, TimerService timer, CallerRequest request) {
        this.guard = guard;
        this.timer = timer;
        this.request = request;
    }

    /** Returns whether the request must not be sent to a server, as it would crash it. */
    boolean isBlocked() {
        if (guard.patternCount() == 0) {
            return false;
        }
        Admission admission = guard.admit(request.id(), traits(), trialMillis);
        if (admission == Admission.TRIAL && trialMillis.isEmpty()) {
            trialMillis = OptionalLong.of(timer.nowMillis());
        }
        return admission == Admission.BLOCKED;
    }

    /** Records that a server has begun to answer the request. */
    void recordAnswer() {
        if (!answered) {
            answered = true;
            guard.recordStart(traits());
        }
    }

    /** Records that the request is sent to a server. */
    void recordAttemptStart() {
        progress = new RunProgress();
    }

    /**
     * Records the progress of the answer.
     *
     * @param events the events of this attempt that have arrived
     */
    void recordEvents(int events) {
        if (progress.advance(events, timer.nowMillis())) {
            guard.recordProgress(traits(), events, progress.beganMillis().getAsLong());
        }
    }

    /**
     * Records that a server has answered the request completely.
     *
     * @param durationMillis the time since the attempt was sent
     */
    void recordCompleteAnswer(long durationMillis) {
        long sentMillis = timer.nowMillis() - durationMillis;
        guard.recordEnd(traits(), progress.beganMillis().orElse(sentMillis));
    }

    /**
     * Records that a server broke the connection while it was answering.
     *
     * @param server the server
     * @param events the events of this attempt that had arrived, see {@link BrokenRun#events}
     * @param durationMillis the time since the attempt was sent
     */
    void recordBrokenRun(DirectServer server, int events, long durationMillis) {
        guard.recordBrokenRun(new BrokenRun(traits(), events, durationMillis), server);
    }

    /**
     * Records that a server broke the connection before it began to answer.
     *
     * @param server the server
     * @param durationMillis the time since the attempt was sent
     */
    void recordBrokenStart(DirectServer server, long durationMillis) {
        guard.recordBrokenStart(new BrokenRun(traits(), 0, durationMillis), server);
    }

    private RequestTraits traits() {
        if (traits.isEmpty()) {
            RequestFingerprint fingerprint = RequestFingerprint.of(request);
            traits =
                    Optional.of(
                            RequestTraits.of(
                                    request.attributes().promptParts(),
                                    fingerprint.content(),
                                    fingerprint.callerAndContent()));
        }
        return traits.get();
    }
}
