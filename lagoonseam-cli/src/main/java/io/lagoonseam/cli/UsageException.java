package io.lagoonseam.cli;

/** Thrown if the command line is invalid. */
public final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a message for the user.
     *
     * @param message the error, which names the option or argument
     */
    public UsageException(String message) {
        super(message);
    }

    UsageException(String message, Throwable cause) {
        super(message, cause);
    }
}
