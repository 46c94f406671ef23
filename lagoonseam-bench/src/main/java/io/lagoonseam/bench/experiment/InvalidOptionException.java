package io.lagoonseam.bench.experiment;

/** An option of an experiment has a value that cannot be used. */
public final class InvalidOptionException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message names the option, what was expected and what was got
     */
    public InvalidOptionException(String message) {
        super(message);
    }
}
