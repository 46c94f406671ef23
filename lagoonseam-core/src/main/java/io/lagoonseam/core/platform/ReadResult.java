package io.lagoonseam.core.platform;

/** The result of a read. */
public sealed interface ReadResult permits ReadResult.Found, ReadResult.Absent, ReadResult.Unavailable {

    /**
     * The object as it was.
     *
     * @param version its version
     * @param value its value
     */
    record Found(long version, byte[] value) implements ReadResult {}

    /** There is no such object. */
    record Absent() implements ReadResult {}

    /**
     * The platform did not answer the question.
     *
     * @param reason why, in words
     */
    record Unavailable(String reason) implements ReadResult {}
}
