package io.lagoonseam.bench.operation;

import io.lagoonseam.core.operation.RecordedAnswer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Knows how often each key ran, which attempts were sent and what callers were told. */
public final class ActionOracle {

    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, RecordedAnswer> durableAnswers = new HashMap<>();
    private final Set<String> sentAttempts = new HashSet<>();
    private final Set<String> notRunAttempts = new HashSet<>();
    private final Set<String> sentKeys = new HashSet<>();
    private final Set<String> notRunKeys = new HashSet<>();
    private long keysSentTwice;
    private long falseNotRun;
    private long falseRan;
    private long answersLost;
    private long wrongAnswers;

    void sent(String key, String attemptId) {
        if (!sentKeys.add(key)) {
            keysSentTwice++;
        }
        sentAttempts.add(attemptId);
        if (notRunAttempts.contains(attemptId)) {
            falseNotRun++;
        }
    }

    void ran(String key) {
        runs.merge(key, 1, Integer::sum);
    }

    boolean hasRun(String key) {
        return runs.containsKey(key);
    }

    boolean wasSent(String key) {
        return sentKeys.contains(key);
    }

    void durable(String key, RecordedAnswer answer) {
        durableAnswers.put(key, answer);
    }

    void toldNotRun(String key, String attemptId) {
        notRunAttempts.add(attemptId);
        notRunKeys.add(key);
        if (sentAttempts.contains(attemptId)) {
            falseNotRun++;
        }
    }

    void toldRan(String key) {
        if (!hasRun(key)) {
            falseRan++;
        }
    }

    void toldAnswer(String key, RecordedAnswer answer) {
        toldRan(key);
        if (!answer.body().contains('"' + key + '"')) {
            wrongAnswers++;
        }
    }

    void finalWord(String key, RecordedAnswer answer) {
        RecordedAnswer durable = durableAnswers.get(key);
        if (durable != null && !durable.equals(answer)) {
            answersLost++;
        }
    }

    /**
     * Returns the keys that ran more than once.
     *
     * @return a number of keys
     */
    public long actionsRunTwice() {
        return runs.values().stream().filter(count -> count > 1).count();
    }

    /**
     * Returns how often a key was sent again.
     *
     * @return a number of requests
     */
    public long keysSentTwice() {
        return keysSentTwice;
    }

    /**
     * Returns the attempts that were reported as not run and had been sent.
     *
     * @return a number of attempts
     */
    public long falseNotRun() {
        return falseNotRun;
    }

    /**
     * Returns how often a key was reported as run that had not.
     *
     * @return a number of reports
     */
    public long falseRan() {
        return falseRan;
    }

    /**
     * Returns the keys whose durable answer was not given to a later duplicate.
     *
     * @return a number of keys
     */
    public long answersLost() {
        return answersLost;
    }

    /**
     * Returns the answers that belonged to another key.
     *
     * @return a number of answers
     */
    public long wrongAnswers() {
        return wrongAnswers;
    }

    /**
     * Returns the keys that ran.
     *
     * @return a number of keys
     */
    public long keysRun() {
        return runs.size();
    }

    /**
     * Returns the keys of which one attempt was truly reported as not run while another one ran.
     *
     * @return a number of keys
     */
    public long keysRunByAnotherAttempt() {
        return notRunKeys.stream().filter(this::hasRun).count();
    }

    /**
     * Returns the durable answers.
     *
     * @return a number of keys
     */
    public long durableAnswers() {
        return durableAnswers.size();
    }

    /**
     * Returns everything that must not happen.
     *
     * @return a number of violations
     */
    public long violations() {
        return actionsRunTwice() + keysSentTwice + falseNotRun + falseRan + answersLost + wrongAnswers;
    }
}
