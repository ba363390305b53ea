package dev.foxtailshed.harness;

import java.util.List;
import java.util.Map;

/** A finished run of the operator command {@code foxtailshed}, with its output. Immutable. */
public final class OperatorCommand {

    private final int status;
    private final String output;
    private final String errorOutput;

    private OperatorCommand(int status, String output, String errorOutput) {
        this.status = status;
        this.output = output;
        this.errorOutput = errorOutput;
    }

    /**
     * Runs the command in a process of its own against an entry and waits until it has exited.
     *
     * @param entry the process of the entry
     * @param arguments the command line
     * @return the exit status and the output
     */
    public static OperatorCommand run(JavaProcess entry, String... arguments) {
        String url = "http://127.0.0.1:" + entry.address().getPort();
        Map<String, String> environment =
                Map.of(
                        "FOXTAILSHED_ENTRY",
                        url,
                        "FOXTAILSHED_KEY",
                        Installation.KEY,
                        "FOXTAILSHED_OPERATOR",
                        "harness");
        try (JavaProcess process =
                JavaProcess.start("foxtailshed", ProgramJar.CLI, environment, List.of(arguments))) {
            int status = process.awaitExit();
            return new OperatorCommand(status, process.output(), process.errorOutput());
        }
    }

    /** Returns the exit status of the process. */
    public int status() {
        return status;
    }

    /** Returns the last lines of standard output, joined by line feeds. */
    public String output() {
        return output;
    }

    /** Returns the last lines of standard error, joined by line feeds. */
    public String errorOutput() {
        return errorOutput;
    }
}
