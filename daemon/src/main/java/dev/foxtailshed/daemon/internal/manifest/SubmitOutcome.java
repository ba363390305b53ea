package dev.foxtailshed.daemon.internal.manifest;

import dev.foxtailshed.kernel.manifest.ManifestProblem;
import java.util.List;

/**
 * The outcome of submitting a manifest. Log lines contain the names of these records and their
 * components.
 */
public sealed interface SubmitOutcome {

    /**
     * The manifest is accepted and durably stored.
     *
     * @param version its version
     */
    record Accepted(long version) implements SubmitOutcome {}

    /**
     * The document violates rules of the manifest.
     *
     * @param problems the violations, each with its path
     */
    record Invalid(List<ManifestProblem> problems) implements SubmitOutcome {}

    /**
     * Another manifest was accepted first, or the expected version is not the one in force.
     *
     * @param version the version in force
     */
    record Conflict(long version) implements SubmitOutcome {}

    /**
     * Nothing was changed, since the object API is unavailable.
     *
     * @param message a short phrase
     */
    record NotApplied(String message) implements SubmitOutcome {}

    /**
     * The change may have taken effect.
     *
     * @param message a short phrase
     */
    record Unknown(String message) implements SubmitOutcome {}
}
