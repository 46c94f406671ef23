package io.lagoonseam.core.platform;

/** The result of a write or a removal. */
public sealed interface WriteResult
        permits WriteResult.Written, WriteResult.Conflict, WriteResult.Unavailable, WriteResult.Unknown {

    /**
     * The write took effect.
     *
     * @param version the new version
     */
    record Written(long version) implements WriteResult {}

    /** The condition did not hold; nothing changed. */
    record Conflict() implements WriteResult {}

    /**
     * The platform refused the call; nothing changed.
     *
     * @param reason why, in words
     */
    record Unavailable(String reason) implements WriteResult {}

    /**
     * The answer was lost; the write may have taken effect.
     *
     * @param reason why, in words
     */
    record Unknown(String reason) implements WriteResult {}
}
