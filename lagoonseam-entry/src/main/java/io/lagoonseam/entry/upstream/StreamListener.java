package io.lagoonseam.entry.upstream;

/** Receives the events of one attempt to generate. All methods are called on the context of the attempt. */
public interface StreamListener {

    /** Called before the first byte of the request is written. */
    void sending();

    /**
     * Called when the engine accepted the request and opened the stream.
     *
     * @param streamId the id with which the stream can be resumed, or null if the engine sent none
     */
    void opened(String streamId);

    /**
     * Called for each token, in order.
     *
     * @param index the index of the token in the complete answer, from 0
     * @param text the text of the token
     */
    void token(int index, String text);

    /**
     * Called when the answer is complete.
     *
     * @param tokens the number of tokens in the complete answer
     */
    void completed(int tokens);

    /**
     * Called when the attempt ended without a complete answer.
     *
     * @param failure the reason and the verdict
     */
    void failed(AttemptFailure failure);
}
