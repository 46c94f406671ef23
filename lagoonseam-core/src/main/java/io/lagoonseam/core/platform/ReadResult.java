package io.lagoonseam.core.platform;

/** The result of reading an object. */
public sealed interface ReadResult permits ReadResult.Found, ReadResult.Absent, ReadResult.Unavailable {

    /**
     * The object exists.
     *
     * @param version the version of the object
     * @param value the value of the object
     */
    record Found(long version, byte[] value) implements ReadResult {}

    /** The object does not exist. */
    record Absent() implements ReadResult {}

    /**
     * The platform was unreachable or rejected the call.
     *
     * @param reason the cause, as text
     */
    record Unavailable(String reason) implements ReadResult {}
}
