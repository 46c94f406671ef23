package io.lagoonseam.entry.upstream;

/** Receives what one attempt to generate brings. All calls come on the context of the attempt. */
public interface StreamListener {

    /** The first byte of the request is about to be written. */
    void sending();

    /**
     * The engine named the stream.
     *
     * @param streamId the id by which it can be resumed
     */
    void opened(String streamId);

    /**
     * A token came.
     *
     * @param index its place in the answer, from 0
     * @param text its text
     */
    void token(int index, String text);

    /**
     * The answer is complete.
     *
     * @param tokens the number of tokens in the whole answer
     */
    void completed(int tokens);

    /**
     * The attempt ended without a complete answer.
     *
     * @param failure how
     */
    void failed(AttemptFailure failure);
}
