package io.lagoonseam.core.forward;

/** Counts the outcomes of attempts in a sliding window of 3 s, divided into buckets of 250 ms. */
public final class RecentOutcomes {

    /**
     * The length of the window, in milliseconds. With a few requests per second at each worker it covers about ten
     * outcomes over all nodes, and it is short enough for the failures of a recovered worker to expire soon.
     */
    public static final long WINDOW_MILLIS = 3_000;

    private static final int BUCKETS = 12;
    private static final long BUCKET_MILLIS = WINDOW_MILLIS / BUCKETS;

    private final int[] outcomes = new int[BUCKETS];
    private final int[] failures = new int[BUCKETS];
    private long latestBucket;

    /**
     * Records an outcome.
     *
     * @param failed whether it counts as a failure of the worker
     * @param nowMillis the current time, in milliseconds
     */
    public void observe(boolean failed, long nowMillis) {
        advance(nowMillis);
        int index = Math.floorMod(latestBucket, BUCKETS);
        outcomes[index]++;
        failures[index] += failed ? 1 : 0;
    }

    /**
     * Returns the outcomes within the window.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the count
     */
    public OutcomeCount count(long nowMillis) {
        advance(nowMillis);
        OutcomeCount sum = OutcomeCount.NONE;
        for (int index = 0; index < BUCKETS; index++) {
            sum = sum.plus(new OutcomeCount(outcomes[index], failures[index]));
        }
        return sum;
    }

    private void advance(long nowMillis) {
        long currentBucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        for (long bucket = Math.max(latestBucket + 1, currentBucket - BUCKETS + 1); bucket <= currentBucket; bucket++) {
            int index = Math.floorMod(bucket, BUCKETS);
            outcomes[index] = 0;
            failures[index] = 0;
        }
        latestBucket = Math.max(latestBucket, currentBucket);
    }
}
