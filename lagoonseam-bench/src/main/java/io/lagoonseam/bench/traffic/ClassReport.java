package io.lagoonseam.bench.traffic;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What was seen of one class. Written by one thread. */
public final class ClassReport {

    private static final int DIGITS = 3;

    private final Histogram firstTokenMillis = new Histogram(DIGITS);
    private final Histogram betweenTokensMicros = new Histogram(DIGITS);
    private final Map<String, Long> refusedByVerdict = new TreeMap<>();
    private long requests;
    private long answered;
    private long attained;
    private long wrongAnswers;
    private long brokenAnswers;
    private long tokens;

    void request() {
        requests++;
    }

    void answered(long firstMillis, double betweenMillis, boolean attainedTargets, int tokenCount) {
        answered++;
        firstTokenMillis.recordValue(firstMillis);
        betweenTokensMicros.recordValue(Math.round(betweenMillis * 1_000));
        tokens += tokenCount;
        if (attainedTargets) {
            attained++;
        }
    }

    void refused(String verdict) {
        refusedByVerdict.merge(verdict, 1L, Long::sum);
    }

    void wrongAnswer() {
        wrongAnswers++;
    }

    void brokenAnswer() {
        brokenAnswers++;
    }

    /**
     * Returns the times to the first token.
     *
     * @return a copy, in milliseconds
     */
    public Histogram firstTokenHistogram() {
        return firstTokenMillis.copy();
    }

    /**
     * Returns the requests sent.
     *
     * @return requests
     */
    public long requests() {
        return requests;
    }

    /**
     * Returns the requests that have ended, answered or not.
     *
     * @return requests
     */
    public long ended() {
        long refused =
                refusedByVerdict.values().stream().mapToLong(Long::longValue).sum();
        return answered + wrongAnswers + brokenAnswers + refused;
    }

    /**
     * Returns the requests that got a whole answer.
     *
     * @return requests
     */
    public long answered() {
        return answered;
    }

    /**
     * Returns the share of requests that met their targets.
     *
     * @return from 0 to 1; 1 without requests
     */
    public double attainment() {
        return requests == 0 ? 1 : (double) attained / requests;
    }

    /**
     * Returns the answers that were somebody else's or not whole.
     *
     * @return answers
     */
    public long wrongAnswers() {
        return wrongAnswers;
    }

    /**
     * Returns the connections that broke without a final answer.
     *
     * @return connections
     */
    public long brokenAnswers() {
        return brokenAnswers;
    }

    /**
     * Returns the tokens of whole answers.
     *
     * @return tokens
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Returns the refusals by verdict.
     *
     * @return counts by the verdict's label
     */
    public Map<String, Long> refusedByVerdict() {
        return Map.copyOf(refusedByVerdict);
    }

    /**
     * Returns a quantile of the time to the first token.
     *
     * @param percentile from 0 to 100
     * @return milliseconds
     */
    public long firstTokenMillis(double percentile) {
        return firstTokenMillis.getValueAtPercentile(percentile);
    }

    /**
     * Returns a quantile of the mean time between tokens.
     *
     * @param percentile from 0 to 100
     * @return milliseconds
     */
    public double betweenTokensMillis(double percentile) {
        return betweenTokensMicros.getValueAtPercentile(percentile) / 1_000.0;
    }
}
