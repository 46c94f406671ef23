package io.lagoonseam.cli;

/** Thrown where the command line is wrong. */
public final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong, naming the option
     */
    public UsageException(String message) {
        super(message);
    }
}
