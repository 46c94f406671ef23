package io.lagoonseam.wire;

import java.util.Optional;

/** The kind of a {@link PeerFrame}. */
public enum FrameKind {
    /** A request, which expects an answer. */
    REQUEST(1),
    /** The answer to a request. */
    ANSWER(2),
    /** The receiver refused the request without handling it. */
    REFUSAL(3),
    /** The receiver began to handle the request, and handling it failed. */
    FAILURE(4);

    private final int number;

    FrameKind(int number) {
        this.number = number;
    }

    /**
     * Returns the number that identifies the kind on the wire.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the kind with a number.
     *
     * @param number the number on the wire
     * @return the kind, or empty if no kind has that number
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
