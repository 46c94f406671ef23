package io.lagoonseam.core.placement;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Bounds the prompts that one engine is given, so that the streams that run there end before their callers leave.
 * Answers bursts of long prompts: an engine that reads without a break sends all its streams at a fraction of their
 * pace, and most end at their deadlines, for nobody.
 *
 * <p>Each stream has a limit on the reading that the engine has done by the time it ends ({@link AnswerPace}). A prompt
 * is not added if it would move the end of the reading beyond the limit of a stream that is at least as urgent. A
 * stream whose limit the engine has passed holds nothing back: it is late in any case. Not thread-safe.
 */
final class ReadingBudget {

    /** The reading after which the weight of an earlier observation of the pace has decayed to 1/e, in milliseconds. */
    private static final double DECAY_MILLIS = 2_000;

    /** The reading from which the pace follows what was observed, in milliseconds. */
    private static final double MIN_OBSERVED_MILLIS = 400;

    private final NavigableMap<Integer, NavigableMap<Double, Integer>> limitsByPriority = new TreeMap<>();
    private double doneMillis;
    private long pendingTokens;
    private long lastMillis;
    private double observedTokens;
    private double observedMillis;

    /**
     * Adds a stream.
     *
     * @param priority its priority; 0 is the most urgent
     * @param spareMillis how long the engine may read prompts until the stream ends, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return its limit, to remove it with
     */
    double add(int priority, double spareMillis, long nowMillis) {
        double limit = doneMillis(nowMillis) + spareMillis;
        limitsByPriority.computeIfAbsent(priority, key -> new TreeMap<>()).merge(limit, 1, Integer::sum);
        return limit;
    }

    /** Removes a stream that has ended. */
    void remove(int priority, double limit) {
        NavigableMap<Double, Integer> limits = limitsByPriority.get(priority);
        if (limits != null) {
            limits.computeIfPresent(limit, (key, count) -> count == 1 ? null : count - 1);
            if (limits.isEmpty()) {
                limitsByPriority.remove(priority);
            }
        }
    }

    /** Records that the engine has been given a prompt. */
    void begin(long tokens, long nowMillis) {
        advance(nowMillis);
        pendingTokens += tokens;
    }

    /** Records that the engine has read a prompt. */
    void read(long tokens, long nowMillis) {
        advance(nowMillis);
        pendingTokens -= tokens;
        observedTokens += tokens;
    }

    /** Records that a prompt has been taken from the engine before it was read. */
    void withdraw(long tokens) {
        pendingTokens -= tokens;
    }

    /** The engine reads as long as it has prompts. */
    private void advance(long nowMillis) {
        if (pendingTokens > 0 && nowMillis > lastMillis) {
            long millis = nowMillis - lastMillis;
            doneMillis += millis;
            double decay = Math.exp(-millis / DECAY_MILLIS);
            observedTokens *= decay;
            observedMillis = decay * observedMillis + millis;
        }
        lastMillis = Math.max(lastMillis, nowMillis);
    }

    /**
     * Returns how long the engine takes to read a number of tokens, with the tokens of answers that it makes between
     * them, in milliseconds.
     *
     * @param tokens the tokens
     * @param unobservedMillis what to return as long as too little has been observed, in milliseconds
     */
    double readingMillis(long tokens, double unobservedMillis) {
        return observedMillis < MIN_OBSERVED_MILLIS || observedTokens <= 0
                ? unobservedMillis
                : tokens * observedMillis / observedTokens;
    }

    /** Returns how long the engine has read prompts until now, in milliseconds. */
    double doneMillis(long nowMillis) {
        advance(nowMillis);
        return doneMillis;
    }

    /**
     * Returns whether a prompt may be added.
     *
     * @param priority its priority; 0 is the most urgent
     * @param pendingMillis how long the engine takes to read the prompts that it has, in milliseconds
     * @param promptMillis how long it takes to read this one, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return whether the streams that are there end in time all the same
     */
    boolean allows(int priority, double pendingMillis, double promptMillis, long nowMillis) {
        double end = doneMillis(nowMillis) + pendingMillis;
        for (NavigableMap<Double, Integer> limits :
                limitsByPriority.headMap(priority, true).values()) {
            Double nearest = limits.ceilingKey(doneMillis);
            if (nearest != null && nearest < end + promptMillis) {
                return false;
            }
        }
        return true;
    }
}
