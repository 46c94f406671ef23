package io.lagoonseam.wire;

/** Bytes that are not a message of the expected form. */
public final class MalformedMessageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong
     */
    public MalformedMessageException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message what is wrong
     * @param cause the fault of the codec
     */
    public MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
