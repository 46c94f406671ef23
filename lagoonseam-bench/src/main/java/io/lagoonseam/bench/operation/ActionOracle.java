package io.lagoonseam.bench.operation;

import io.lagoonseam.core.operation.RecordedAnswer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Records how often each key ran, which attempts were sent and which results were reported to callers, and counts
 * contradictions between them. Not thread-safe.
 */
public final class ActionOracle {

    private final Map<String, Integer> runCounts = new HashMap<>();
    private final Map<String, RecordedAnswer> durableAnswers = new HashMap<>();
    private final Set<String> sentAttemptIds = new HashSet<>();
    private final Set<String> reportedNotRunAttemptIds = new HashSet<>();
    private final Set<String> sentKeys = new HashSet<>();
    private final Set<String> reportedNotRunKeys = new HashSet<>();
    private long keysSentTwice;
    private long falseNotRun;
    private long falseRan;
    private long answersLost;
    private long wrongAnswers;

    void recordSent(String key, String attemptId) {
        if (!sentKeys.add(key)) {
            keysSentTwice++;
        }
        sentAttemptIds.add(attemptId);
        if (reportedNotRunAttemptIds.contains(attemptId)) {
            falseNotRun++;
        }
    }

    void recordRun(String key) {
        runCounts.merge(key, 1, Integer::sum);
    }

    boolean hasRun(String key) {
        return runCounts.containsKey(key);
    }

    boolean wasSent(String key) {
        return sentKeys.contains(key);
    }

    void recordDurableAnswer(String key, RecordedAnswer answer) {
        durableAnswers.put(key, answer);
    }

    void recordReportedNotRun(String key, String attemptId) {
        reportedNotRunAttemptIds.add(attemptId);
        reportedNotRunKeys.add(key);
        if (sentAttemptIds.contains(attemptId)) {
            falseNotRun++;
        }
    }

    void recordReportedRan(String key) {
        if (!hasRun(key)) {
            falseRan++;
        }
    }

    void recordReportedAnswer(String key, RecordedAnswer answer) {
        recordReportedRan(key);
        if (!answer.body().contains('"' + key + '"')) {
            wrongAnswers++;
        }
    }

    void checkFinalAnswer(String key, RecordedAnswer answer) {
        RecordedAnswer durable = durableAnswers.get(key);
        if (durable != null && !durable.equals(answer)) {
            answersLost++;
        }
    }

    /**
     * Returns the number of keys that ran more than once.
     *
     * @return a number of keys
     */
    public long actionsRunTwice() {
        return runCounts.values().stream().filter(count -> count > 1).count();
    }

    /**
     * Returns how often a key was sent to the upstream that had been sent before.
     *
     * @return a number of requests
     */
    public long keysSentTwice() {
        return keysSentTwice;
    }

    /**
     * Returns the number of attempts that were reported as not run although they were sent.
     *
     * @return a number of attempts
     */
    public long falseNotRun() {
        return falseNotRun;
    }

    /**
     * Returns how often a key was reported as run although it had not run.
     *
     * @return a number of reports
     */
    public long falseRan() {
        return falseRan;
    }

    /**
     * Returns the number of keys whose durable answer was not returned by the final check.
     *
     * @return a number of keys
     */
    public long answersLost() {
        return answersLost;
    }

    /**
     * Returns the number of answers that belonged to another key.
     *
     * @return a number of answers
     */
    public long wrongAnswers() {
        return wrongAnswers;
    }

    /**
     * Returns the number of keys that ran at least once.
     *
     * @return a number of keys
     */
    public long keysRun() {
        return runCounts.size();
    }

    /**
     * Returns the number of keys that ran and of which another attempt was correctly reported as not run.
     *
     * @return a number of keys
     */
    public long keysRunByAnotherAttempt() {
        return reportedNotRunKeys.stream().filter(this::hasRun).count();
    }

    /**
     * Returns the number of keys with a durable answer.
     *
     * @return a number of keys
     */
    public long durableAnswers() {
        return durableAnswers.size();
    }

    /**
     * Returns the sum of all counts that must be 0.
     *
     * @return a number of violations
     */
    public long violations() {
        return actionsRunTwice() + keysSentTwice + falseNotRun + falseRan + answersLost + wrongAnswers;
    }
}
