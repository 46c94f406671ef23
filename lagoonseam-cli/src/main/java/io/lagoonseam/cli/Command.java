package io.lagoonseam.cli;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Implements one command of the command line. */
public interface Command {

    /**
     * Returns the words that select the command on the command line.
     *
     * @return one or two words, separated by one space
     */
    String name();

    /**
     * Returns the positional arguments as the help shows them after the command name.
     *
     * @return the argument names, or an empty string if the command takes none
     */
    default String arguments() {
        return "";
    }

    /**
     * Returns the description that the help shows for the command.
     *
     * @return one sentence without a final full stop
     */
    String summary();

    /**
     * Creates the options of the command, without {@code --help}.
     *
     * @return a new instance, which the caller may modify
     */
    Options options();

    /**
     * Runs the command.
     *
     * @param line the parsed options and arguments
     * @param out the stream for results
     * @param err the stream for error messages
     * @return one of the codes of {@link ExitCode}
     * @throws UsageException if an option or argument is missing or invalid
     * @throws Exception if the command fails for another reason
     */
    int run(CommandLine line, PrintStream out, PrintStream err) throws Exception;
}
