package dev.foxtailshed.cli.internal;

import dev.foxtailshed.cli.internal.EntryClient.EntryResponse;
import dev.foxtailshed.cli.internal.EntryClient.FailedCall;
import dev.foxtailshed.cli.internal.OperatorMessages.Accepted;
import dev.foxtailshed.cli.internal.OperatorMessages.ErrorBody;
import dev.foxtailshed.kernel.manifest.ManifestProblem;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Submits a manifest and determines whether it took effect.
 *
 * <p>If a response is lost, the submission is sent to the next entry under the same id; entries
 * respond to an id that was already accepted with its version. Not thread-safe.
 */
final class Submitter {

    private static final int MAXIMUM_ROUNDS = 6;
    private static final long INITIAL_PAUSE_MILLIS = 200;

    private final EntryClient client;
    private final PollTimer timer;
    private final byte[] document;
    private final OptionalLong expectVersion;
    private final String submissionId;
    private final String pathAndQuery;
    private boolean mayHaveRun;
    private String lastMessage = "";

    Submitter(
            EntryClient client,
            PollTimer timer,
            byte[] document,
            OptionalLong expectVersion,
            String submissionId) {
        this.client = client;
        this.timer = timer;
        this.document = document.clone();
        this.expectVersion = expectVersion;
        this.submissionId = submissionId;
        String expectation =
                expectVersion.isPresent() ? "&expectVersion=" + expectVersion.getAsLong() : "";
        this.pathAndQuery = "/manifest?submissionId=" + submissionId + expectation;
    }

    /** Submits the manifest; to be called once. */
    Outcome submit() {
        for (int round = 0; round < MAXIMUM_ROUNDS; round++) {
            if (round > 0) {
                timer.sleep(INITIAL_PAUSE_MILLIS << (round - 1));
            }
            for (String entry : client.entries()) {
                Optional<Outcome> outcome = attempt(entry);
                if (outcome.isPresent()) {
                    return outcome.get();
                }
            }
            if (!mayHaveRun) {
                return outcome(ExitCode.NOT_REACHABLE, 0, lastMessage, List.of());
            }
        }
        return outcome(ExitCode.OUTCOME_UNKNOWN, 0, lastMessage, List.of());
    }

    private Optional<Outcome> attempt(String entry) {
        Either<FailedCall, EntryResponse> result = client.post(entry, pathAndQuery, document);
        if (result.isLeft()) {
            mayHaveRun |= result.getLeft().mayHaveBeenReceived();
            lastMessage = result.getLeft().message();
            return Optional.empty();
        }
        EntryResponse response = result.get();
        lastMessage = entry + " responded with " + response.errorText();
        if (response.status() == HttpStatus.OK_200) {
            return accepted(response);
        }
        ErrorBody error = response.as(ErrorBody.class).orElse(new ErrorBody(null, List.of(), 0));
        if (response.status() == HttpStatus.CONFLICT_409) {
            return conflict(response, error.version());
        }
        if (response.status() < HttpStatus.INTERNAL_SERVER_ERROR_500) {
            // An error does not show the outcome of an earlier attempt whose response was lost.
            ExitCode code = mayHaveRun ? ExitCode.OUTCOME_UNKNOWN : ExitCode.BAD_USE;
            return Optional.of(outcome(code, 0, response.errorText(), error.problems()));
        }
        mayHaveRun |= !error.hasNotRunVerdict();
        return Optional.empty();
    }

    /**
     * Returns a conflict, or nothing if an earlier attempt may still take effect. A delayed attempt
     * is certain to fail only after its expected version has been superseded.
     */
    private Optional<Outcome> conflict(EntryResponse response, long winningVersion) {
        boolean expectedVersionPassed =
                expectVersion.isPresent() && winningVersion > expectVersion.getAsLong();
        if (mayHaveRun && !expectedVersionPassed) {
            return Optional.empty();
        }
        return Optional.of(
                outcome(ExitCode.CONFLICT, winningVersion, response.errorText(), List.of()));
    }

    private Optional<Outcome> accepted(EntryResponse response) {
        Optional<Accepted> accepted =
                response.as(Accepted.class)
                        .filter(a -> a.version() > 0 && submissionId.equals(a.submissionId()));
        if (accepted.isEmpty()) {
            mayHaveRun = true;
            lastMessage = "the entry returned an invalid response to the submission";
        }
        return accepted.map(a -> outcome(ExitCode.DONE, a.version(), "", List.of()));
    }

    private Outcome outcome(
            ExitCode exitCode, long version, String message, List<ManifestProblem> problems) {
        return new Outcome(exitCode, version, submissionId, message, problems);
    }

    /**
     * The outcome of a submission, printed as JSON.
     *
     * @param exitCode the exit code of the process
     * @param version the version of this manifest, or in a conflict of the one that was accepted;
     *     zero if unknown
     * @param submissionId the id of the submission
     * @param message the reason in one sentence, empty if the manifest was accepted
     * @param problems the validation errors of a rejected manifest
     */
    record Outcome(
            ExitCode exitCode,
            long version,
            String submissionId,
            String message,
            List<ManifestProblem> problems) {}
}
