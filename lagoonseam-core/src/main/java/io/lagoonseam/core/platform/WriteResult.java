package io.lagoonseam.core.platform;

/** The result of writing or deleting an object. */
public sealed interface WriteResult
        permits WriteResult.Written, WriteResult.Conflict, WriteResult.Unavailable, WriteResult.Unknown {

    /**
     * The write or deletion took effect.
     *
     * @param version the new version of the object
     */
    record Written(long version) implements WriteResult {}

    /** The condition was not met; nothing changed. */
    record Conflict() implements WriteResult {}

    /**
     * The platform rejected the call; nothing changed.
     *
     * @param reason the cause, as text
     */
    record Unavailable(String reason) implements WriteResult {}

    /**
     * The response was lost; the write may have taken effect.
     *
     * @param reason the cause, as text
     */
    record Unknown(String reason) implements WriteResult {}
}
