package io.lagoonseam.bench.operation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;

/**
 * What a run showed.
 *
 * @param oracle the truth and what was told
 * @param addedMillis the time added to each answered action
 * @param writesPerSecond platform writes per second while actions came
 * @param writesPerAction platform writes per key, until all was settled
 * @param mostWritesInOneSecond the busiest second before the last check of all keys
 * @param largestValueBytes the largest object
 * @param unrecordedOutcomes outcomes that were not durable in the end
 * @param monitorViolations violations found inside the journal
 * @param faults what went wrong, in words
 */
public record JournalRunResult(
        ActionOracle oracle,
        Histogram addedMillis,
        double writesPerSecond,
        double writesPerAction,
        int mostWritesInOneSecond,
        long largestValueBytes,
        int unrecordedOutcomes,
        long monitorViolations,
        String faults) {

    private static final double MEDIAN = 50;
    private static final double TAIL = 99;

    JournalRunResult withFaults(String text) {
        return new JournalRunResult(
                oracle,
                addedMillis,
                writesPerSecond,
                writesPerAction,
                mostWritesInOneSecond,
                largestValueBytes,
                unrecordedOutcomes,
                monitorViolations,
                text);
    }

    /**
     * Returns everything that must not happen.
     *
     * @return a number of violations
     */
    public long violations() {
        return oracle.violations() + monitorViolations + unrecordedOutcomes;
    }

    /**
     * Returns the median of the added time.
     *
     * @return milliseconds
     */
    public long medianMillis() {
        return addedMillis.getValueAtPercentile(MEDIAN);
    }

    /**
     * Returns the 99th percentile of the added time.
     *
     * @return milliseconds
     */
    public long tailMillis() {
        return addedMillis.getValueAtPercentile(TAIL);
    }

    /**
     * Writes the counts that must be 0 and what they are of.
     *
     * @param node where to
     */
    public void writeTruth(ObjectNode node) {
        node.put("actionsRunTwice", oracle.actionsRunTwice())
                .put("keysSentTwice", oracle.keysSentTwice())
                .put("falseNotRun", oracle.falseNotRun())
                .put("falseRan", oracle.falseRan())
                .put("answersLost", oracle.answersLost())
                .put("wrongAnswers", oracle.wrongAnswers())
                .put("unrecordedOutcomes", unrecordedOutcomes)
                .put("actionsRun", oracle.keysRun())
                .put("answersDurable", oracle.durableAnswers())
                .put("notRunWhileAnotherAttemptRan", oracle.keysRunByAnotherAttempt())
                .put("mostWritesInOneSecond", mostWritesInOneSecond)
                .put("faults", faults)
                .put("invariantViolations", violations());
    }

    /**
     * Writes the cost.
     *
     * @param node where to
     */
    public void writeCost(ObjectNode node) {
        node.putObject("addedLatencyMillis").put("p50", medianMillis()).put("p99", tailMillis());
        node.put("platformWritesPerAction", writesPerAction)
                .put("platformWritesPerSecond", writesPerSecond)
                .put("mostWritesInOneSecond", mostWritesInOneSecond)
                .put("largestValueBytes", largestValueBytes);
    }
}
