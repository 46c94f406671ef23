package io.lagoonseam.cli;

import java.io.PrintStream;

/** Provides the main method of the program. */
public final class Main {

    private Main() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param arguments the command name, followed by its options and arguments
     */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        System.exit(new CommandLineProgram(out, err).run(arguments));
    }
}
