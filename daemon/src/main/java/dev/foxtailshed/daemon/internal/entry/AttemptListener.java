package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.record.AttemptRecord;
import dev.foxtailshed.wire.Message;

/** Receives the events of an attempt, on the serial executor of its request. */
interface AttemptListener {

    /** Called when the attempt has ended in any way, before the method that reports how. */
    void onEnded(AttemptRecord ended);

    /** Called when the sidecar has granted the offer. */
    void onGranted(Attempt attempt);

    /** Called when the attempt failed; the verdict of the failure says whether it may have run. */
    void onFailed(Attempt attempt, RequestFailure failure);

    /** Called when prefill has completed. */
    default void onPrefilled(Attempt attempt, Message.Prefilled prefilled) {}

    /** Called when the status and headers of a call's answer have arrived. */
    default void onHead(Attempt attempt, Message.AnswerHead head) {}

    /** Called for each part of the answer, in order. */
    default void onPart(Attempt attempt, Message.AnswerPart part) {}

    /** Called when the answer is complete. */
    default void onCompleted(Attempt attempt, Message.AnswerEnd end) {}
}
