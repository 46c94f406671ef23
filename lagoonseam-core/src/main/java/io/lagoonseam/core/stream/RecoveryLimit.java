package io.lagoonseam.core.stream;

/**
 * Limits how often the interrupted stream of one request is recovered: at most 3 times in a row without new tokens, and
 * 10 times in total. Not thread-safe.
 */
public final class RecoveryLimit {

    private static final int MAX_WITHOUT_PROGRESS = 3;
    private static final int MAX_TOTAL = 10;

    private int withoutProgress;
    private int total;
    private int tokensAtLastRecovery = -1;

    /**
     * Requests permission for one more recovery and counts it if it is granted.
     *
     * @param tokens the number of tokens that the caller has received
     * @return whether the recovery is permitted
     */
    public boolean tryRecover(int tokens) {
        withoutProgress = tokens > tokensAtLastRecovery ? 0 : withoutProgress;
        tokensAtLastRecovery = tokens;
        if (withoutProgress >= MAX_WITHOUT_PROGRESS || total >= MAX_TOTAL) {
            return false;
        }
        withoutProgress++;
        total++;
        return true;
    }

    /**
     * Returns the number of recoveries since the caller last received a new token.
     *
     * @return the number of recoveries, from 0
     */
    public int withoutProgress() {
        return withoutProgress;
    }
}
