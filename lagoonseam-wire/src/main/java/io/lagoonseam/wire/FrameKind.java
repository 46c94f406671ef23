package io.lagoonseam.wire;

import java.util.Optional;

/** What a frame is. */
public enum FrameKind {
    /** A message that wants an answer. */
    REQUEST(1),
    /** The answer to a request. */
    ANSWER(2),
    /** The receiver did not handle the request. */
    REFUSAL(3),
    /** The receiver began to handle the request and failed. */
    FAILURE(4);

    private final int number;

    FrameKind(int number) {
        this.number = number;
    }

    /**
     * Returns the number on the wire.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Finds a kind.
     *
     * @param number the number on the wire
     * @return the kind, or empty if there is none of that number
     */
    public static Optional<FrameKind> of(int number) {
        for (FrameKind kind : values()) {
            if (kind.number == number) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
