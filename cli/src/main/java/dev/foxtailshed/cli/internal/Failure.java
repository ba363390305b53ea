package dev.foxtailshed.cli.internal;

/**
 * The reason for which a command ends without a result.
 *
 * @param exitCode the exit code of the process
 * @param message the reason in one sentence
 */
record Failure(ExitCode exitCode, String message) {

    static Failure badUse(String message) {
        return new Failure(ExitCode.BAD_USE, message);
    }
}
