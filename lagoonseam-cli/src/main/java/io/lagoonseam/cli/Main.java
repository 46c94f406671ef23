package io.lagoonseam.cli;

import java.io.PrintStream;

/** The entry point of the program. */
public final class Main {

    private Main() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param arguments the command and its arguments
     */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        System.exit(new CommandLineProgram(out, err).run(arguments));
    }
}
