package io.lagoonseam.wire;

/** Thrown if bytes cannot be decoded as a message of the expected format. */
public final class MalformedMessageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message describes what is malformed
     */
    public MalformedMessageException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message describes what is malformed
     * @param cause the exception of the MessagePack decoder
     */
    public MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
