package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.wire.Message;
import java.util.Optional;

/** Extracts the attempt id from the messages of a sidecar. */
final class AttemptMessages {

    private AttemptMessages() {}

    static Optional<AttemptId> attemptIdOf(Message message) {
        if (message instanceof Message.AnswerPart part) {
            return Optional.of(part.attemptId());
        } else if (message instanceof Message.Grant grant) {
            return Optional.of(grant.attemptId());
        } else if (message instanceof Message.Refuse refuse) {
            return Optional.of(refuse.attemptId());
        } else if (message instanceof Message.AnswerHead head) {
            return Optional.of(head.attemptId());
        } else if (message instanceof Message.AnswerEnd end) {
            return Optional.of(end.attemptId());
        } else if (message instanceof Message.Prefilled prefilled) {
            return Optional.of(prefilled.attemptId());
        } else if (message instanceof Message.Failed failed) {
            return Optional.of(failed.attemptId());
        } else if (message instanceof Message.Outcome outcome) {
            return Optional.of(outcome.attemptId());
        }
        return Optional.empty();
    }
}
