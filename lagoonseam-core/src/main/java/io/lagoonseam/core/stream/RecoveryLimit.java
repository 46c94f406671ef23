package io.lagoonseam.core.stream;

/** Bounds the recoveries of one request: few without progress, and a total. Not thread-safe. */
public final class RecoveryLimit {

    private static final int MAX_WITHOUT_PROGRESS = 3;
    private static final int MAX_TOTAL = 10;

    private int withoutProgress;
    private int total;
    private int tokensAtLast = -1;

    /**
     * Asks for one more recovery.
     *
     * @param tokens the tokens that the caller has
     * @return whether it is allowed
     */
    public boolean tryRecover(int tokens) {
        withoutProgress = tokens > tokensAtLast ? 0 : withoutProgress;
        tokensAtLast = tokens;
        if (withoutProgress >= MAX_WITHOUT_PROGRESS || total >= MAX_TOTAL) {
            return false;
        }
        withoutProgress++;
        total++;
        return true;
    }

    /**
     * Returns the recoveries since the last progress, for a backoff.
     *
     * @return recoveries, from 0
     */
    public int withoutProgress() {
        return withoutProgress;
    }
}
