package io.lagoonseam.cli;

/** Defines the exit codes of the program. */
public final class ExitCode {

    /** The command succeeded. */
    public static final int SUCCESS = 0;

    /** The command failed. */
    public static final int FAILURE = 1;

    /** The command line was invalid. */
    public static final int USAGE_ERROR = 2;

    private ExitCode() {}
}
