package io.lagoonseam.entry.upstream;

/** Receives the events of one attempt at a plain service. */
public interface PlainListener {

    /** Called before the first byte of the request is written. */
    void sending();

    /**
     * Called when the service answered.
     *
     * @param answer the complete answer, with any HTTP status
     */
    void answered(PlainAnswer answer);

    /**
     * Called when the attempt ended without an answer.
     *
     * @param failure the reason and the verdict
     */
    void failed(AttemptFailure failure);
}
