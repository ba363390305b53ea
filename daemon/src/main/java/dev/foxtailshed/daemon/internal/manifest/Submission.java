package dev.foxtailshed.daemon.internal.manifest;

import java.util.OptionalLong;

/**
 * A manifest that an operator submits.
 *
 * @param document its bytes
 * @param operator who submits it
 * @param fromAddress from where
 * @param submissionId a name drawn by the operator's tool, the same for a resend
 * @param expectedVersion the version that the operator read, if given
 */
public record Submission(
        byte[] document,
        String operator,
        String fromAddress,
        String submissionId,
        OptionalLong expectedVersion) {}
