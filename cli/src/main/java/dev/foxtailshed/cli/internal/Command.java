package dev.foxtailshed.cli.internal;

import net.sourceforge.argparse4j.inf.ArgumentParser;

/** A command of the tool; implementations are registered in <code>META-INF/services</code>. */
interface Command {

    /** Returns the one or two words that select the command, separated by a space. */
    String words();

    /** Returns the help text, one line. */
    String help();

    /** Declares the arguments specific to this command. */
    void declare(ArgumentParser parser);

    /** Runs the command and returns the exit code of the process. */
    ExitCode run(Invocation invocation);
}
