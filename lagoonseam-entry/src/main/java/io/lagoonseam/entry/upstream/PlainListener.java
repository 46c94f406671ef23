package io.lagoonseam.entry.upstream;

/** Receives what one attempt at a plain service brings. */
public interface PlainListener {

    /** The first byte of the request is about to be written. */
    void sending();

    /**
     * The service answered.
     *
     * @param answer its answer
     */
    void answered(PlainAnswer answer);

    /**
     * The attempt ended without an answer.
     *
     * @param failure how
     */
    void failed(AttemptFailure failure);
}
