package io.lagoonseam.bench.operation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;

/**
 * The measurements of one run of a journal.
 *
 * @param oracle the actual runs and the results reported to callers
 * @param addedMillis the latency in milliseconds that the journal added to each answered action
 * @param writesPerSecond platform writes per second while actions arrived
 * @param writesPerAction platform writes per key, including the time to settle after the last arrival
 * @param mostWritesInOneSecond the most platform writes in one second before the final check of all keys
 * @param largestValueBytes the size of the largest platform object, in bytes
 * @param unrecordedOutcomes the number of outcomes that were not durable at the end of the run
 * @param monitorViolations the number of violations that the invariant monitor of the journals found
 * @param faults the injected faults, as a text for people
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

    private static final double P50 = 50;
    private static final double P99 = 99;

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
     * Returns the number of results that must not occur.
     *
     * @return a number of violations
     */
    public long violations() {
        return oracle.violations() + monitorViolations + unrecordedOutcomes;
    }

    /**
     * Returns the median of the added latency.
     *
     * @return milliseconds
     */
    public long medianMillis() {
        return addedMillis.getValueAtPercentile(P50);
    }

    /**
     * Returns the 99th percentile of the added latency.
     *
     * @return milliseconds
     */
    public long p99Millis() {
        return addedMillis.getValueAtPercentile(P99);
    }

    /**
     * Writes the counts of violations, which must be 0, and the totals to which they relate.
     *
     * @param node the JSON object that receives the fields
     */
    public void writeCorrectness(ObjectNode node) {
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
     * Writes the added latency in milliseconds and the number and size of the platform writes.
     *
     * @param node the JSON object that receives the fields
     */
    public void writeCost(ObjectNode node) {
        node.putObject("addedLatencyMillis").put("p50", medianMillis()).put("p99", p99Millis());
        node.put("platformWritesPerAction", writesPerAction)
                .put("platformWritesPerSecond", writesPerSecond)
                .put("mostWritesInOneSecond", mostWritesInOneSecond)
                .put("largestValueBytes", largestValueBytes);
    }
}
