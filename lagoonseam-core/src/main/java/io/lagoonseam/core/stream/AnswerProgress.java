package io.lagoonseam.core.stream;

/**
 * What a caller has got of its answer, over all attempts. Not thread-safe: it belongs to the context of one request.
 */
public final class AnswerProgress {

    private int nextIndex;
    private boolean gapless = true;

    /**
     * Notes a token that is about to go to the caller.
     *
     * @param index its place in the answer, from 0
     * @return whether it is the next one; any other must not be passed on
     */
    public boolean accept(int index) {
        if (index != nextIndex) {
            gapless = false;
            return false;
        }
        nextIndex++;
        return true;
    }

    /**
     * Returns the number of tokens that went to the caller.
     *
     * @return tokens without a gap from the first one
     */
    public int tokens() {
        return nextIndex;
    }

    /**
     * Returns whether the caller has the whole answer.
     *
     * @param wholeTokens the number of tokens that the upstream says it has
     * @return true if each token came once and in order
     */
    public boolean isWhole(int wholeTokens) {
        return gapless && nextIndex == wholeTokens;
    }
}
