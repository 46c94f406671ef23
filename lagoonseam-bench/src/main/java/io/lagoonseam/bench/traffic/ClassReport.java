package io.lagoonseam.bench.traffic;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the results of the requests of one class. Not thread-safe; updated by one thread. */
public final class ClassReport {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram firstTokenMillis = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram betweenTokensMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<String, Long> refusedByVerdict = new TreeMap<>();
    private long requests;
    private long answered;
    private long attained;
    private long wrongAnswers;
    private long brokenAnswers;
    private long tokens;

    void recordRequest() {
        requests++;
    }

    void recordAnswer(long firstMillis, double betweenMillis, boolean objectivesMet, int tokenCount) {
        answered++;
        firstTokenMillis.recordValue(firstMillis);
        betweenTokensMicros.recordValue(Math.round(betweenMillis * 1_000));
        tokens += tokenCount;
        if (objectivesMet) {
            attained++;
        }
    }

    void recordRefusal(String verdict) {
        refusedByVerdict.merge(verdict, 1L, Long::sum);
    }

    void recordWrongAnswer() {
        wrongAnswers++;
    }

    void recordBrokenAnswer() {
        brokenAnswers++;
    }

    /**
     * Returns the distribution of the time to the first token of complete answers.
     *
     * @return a copy of the histogram, in milliseconds
     */
    public Histogram firstTokenHistogram() {
        return firstTokenMillis.copy();
    }

    /**
     * Returns the number of requests sent.
     *
     * @return a number of requests
     */
    public long requests() {
        return requests;
    }

    /**
     * Returns the number of requests that have ended, answered or not.
     *
     * @return a number of requests
     */
    public long ended() {
        long refused =
                refusedByVerdict.values().stream().mapToLong(Long::longValue).sum();
        return answered + wrongAnswers + brokenAnswers + refused;
    }

    /**
     * Returns the number of requests with a complete and correct answer.
     *
     * @return a number of requests
     */
    public long answered() {
        return answered;
    }

    /**
     * Returns the share of requests that met the latency objectives of their service level.
     *
     * @return a share from 0 to 1; 1 if there were no requests
     */
    public double attainment() {
        return requests == 0 ? 1 : (double) attained / requests;
    }

    /**
     * Returns the number of answers that belonged to another request or were incomplete.
     *
     * @return a number of answers
     */
    public long wrongAnswers() {
        return wrongAnswers;
    }

    /**
     * Returns the number of requests whose connection failed before the end of the answer.
     *
     * @return a number of requests
     */
    public long brokenAnswers() {
        return brokenAnswers;
    }

    /**
     * Returns the number of tokens of complete answers.
     *
     * @return a number of tokens
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Returns the number of refused requests by verdict.
     *
     * @return the counts by verdict; {@code no_node} if no node was available, {@code unreadable} if the refusal could
     *     not be read
     */
    public Map<String, Long> refusedByVerdict() {
        return Map.copyOf(refusedByVerdict);
    }

    /**
     * Returns a percentile of the time to the first token.
     *
     * @param percentile the percentile, from 0 to 100
     * @return a time in milliseconds
     */
    public long firstTokenMillis(double percentile) {
        return firstTokenMillis.getValueAtPercentile(percentile);
    }

    /**
     * Returns a percentile of the mean time between the tokens of an answer.
     *
     * @param percentile the percentile, from 0 to 100
     * @return a time in milliseconds
     */
    public double betweenTokensMillis(double percentile) {
        return betweenTokensMicros.getValueAtPercentile(percentile) / 1_000.0;
    }
}
