package io.lagoonseam.core.stream;

/**
 * Tracks the tokens that a caller has received of its answer over all attempts. Not thread-safe: an instance is
 * confined to the context of one request.
 */
public final class AnswerProgress {

    private int nextIndex;
    private boolean inOrder = true;

    /**
     * Records a token that is about to be sent to the caller.
     *
     * @param index the index of the token in the answer, from 0
     * @return whether this is the next token; any other must not be sent, and the answer no longer counts as complete
     */
    public boolean accept(int index) {
        if (index != nextIndex) {
            inOrder = false;
            return false;
        }
        nextIndex++;
        return true;
    }

    /**
     * Returns the number of tokens that were sent to the caller.
     *
     * @return the number of consecutive tokens, counted from the first
     */
    public int tokens() {
        return nextIndex;
    }

    /**
     * Returns whether the caller has received the complete answer.
     *
     * @param totalTokens the number of tokens of the answer as stated by the upstream
     * @return true if all tokens were sent and no token arrived out of order
     */
    public boolean isComplete(int totalTokens) {
        return inOrder && nextIndex == totalTokens;
    }
}
