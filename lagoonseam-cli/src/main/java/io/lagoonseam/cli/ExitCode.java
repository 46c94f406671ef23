package io.lagoonseam.cli;

/** The exit codes of the program. */
public final class ExitCode {

    /** The command did what it was asked to. */
    public static final int DONE = 0;

    /** The command failed. */
    public static final int FAILED = 1;

    /** The command line was wrong. */
    public static final int WRONG_USE = 2;

    private ExitCode() {}
}
