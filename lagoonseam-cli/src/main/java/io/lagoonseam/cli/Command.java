package io.lagoonseam.cli;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the program. */
public interface Command {

    /**
     * Returns the name.
     *
     * @return one or two words
     */
    String name();

    /**
     * Returns what stands behind the name in the help.
     *
     * @return the arguments
     */
    default String arguments() {
        return "";
    }

    /**
     * Returns what the command does.
     *
     * @return one sentence
     */
    String summary();

    /**
     * Returns the options besides {@code --help}.
     *
     * @return new options
     */
    Options options();

    /**
     * Runs the command.
     *
     * @param line the parsed options and arguments
     * @param out the standard output
     * @param err the standard error
     * @return the exit code
     * @throws UsageException if an argument is wrong
     * @throws Exception if the command failed
     */
    int run(CommandLine line, PrintStream out, PrintStream err) throws Exception;
}
