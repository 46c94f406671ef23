package io.lagoonseam.bench.traffic;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Collects the results of the requests of all classes. Not thread-safe; updated by one thread. */
public final class TrafficReport {

    private static final double P50 = 50;
    private static final double P95 = 95;

    private static final long TIME_SLOT_MILLIS = 100;

    private final Map<String, ClassReport> classes = new LinkedHashMap<>();
    private final List<String> keysNotRun = new ArrayList<>();
    private final NavigableMap<Long, Long> tokensBySlot = new TreeMap<>();

    ClassReport classReport(String name) {
        return classes.computeIfAbsent(name, unknown -> new ClassReport());
    }

    static long timeSlot(long elapsedMillis) {
        return elapsedMillis / TIME_SLOT_MILLIS;
    }

    void addCompleteAnswer(Map<Long, Integer> answerTokensBySlot) {
        answerTokensBySlot.forEach((slot, tokens) -> tokensBySlot.merge(slot, (long) tokens, Long::sum));
    }

    /**
     * Returns the number of tokens of complete answers that arrived within an interval.
     *
     * @param startMillis the start in milliseconds after the start of the traffic, inclusive, a multiple of 100
     * @param endMillis the end in milliseconds after the start of the traffic, exclusive, a multiple of 100
     * @return a number of tokens
     */
    public long tokensBetween(long startMillis, long endMillis) {
        return tokensBySlot.subMap(timeSlot(startMillis), timeSlot(endMillis)).values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    void addKeyNotRun(String key) {
        keysNotRun.add(key);
    }

    /**
     * Returns the idempotency keys of the requests that were refused as not run.
     *
     * @return a copy of the list of keys
     */
    public List<String> keysNotRun() {
        return List.copyOf(keysNotRun);
    }

    /**
     * Returns the report of each class.
     *
     * @return an unmodifiable view of the reports by class name
     */
    public Map<String, ClassReport> classes() {
        return Collections.unmodifiableMap(classes);
    }

    /**
     * Returns the number of answers that belonged to another request or were incomplete.
     *
     * @return a number of answers, summed over all classes
     */
    public long wrongAnswers() {
        return classes.values().stream().mapToLong(ClassReport::wrongAnswers).sum();
    }

    /**
     * Returns the number of requests that have ended, answered or not.
     *
     * @return a number of requests, summed over all classes
     */
    public long ended() {
        return classes.values().stream().mapToLong(ClassReport::ended).sum();
    }

    /**
     * Returns the number of requests sent.
     *
     * @return a number of requests, summed over all classes
     */
    public long requests() {
        return classes.values().stream().mapToLong(ClassReport::requests).sum();
    }

    /**
     * Returns the number of tokens of complete answers.
     *
     * @return a number of tokens, summed over all classes
     */
    public long tokens() {
        return classes.values().stream().mapToLong(ClassReport::tokens).sum();
    }

    /**
     * Returns the number of requests whose connection failed before the end of the answer.
     *
     * @return a number of requests, summed over all classes
     */
    public long brokenAnswers() {
        return classes.values().stream().mapToLong(ClassReport::brokenAnswers).sum();
    }

    /**
     * Renders the report as a text table.
     *
     * @return a heading and one line for each class
     */
    public String table() {
        StringBuilder table = new StringBuilder();
        table.append(String.format(
                Locale.ROOT,
                "%-14s %8s %8s %10s %22s %22s  %s%n",
                "class",
                "requests",
                "answered",
                "attainment",
                "first token p50/p95 ms",
                "between p50/p95 ms",
                "refused"));
        classes.forEach((name, report) -> table.append(row(name, report)));
        return table.toString();
    }

    private static String row(String name, ClassReport report) {
        return String.format(
                Locale.ROOT,
                "%-14s %8d %8d %10.4f %22s %22s  %s%n",
                name,
                report.requests(),
                report.answered(),
                report.attainment(),
                report.firstTokenMillis(P50) + " / " + report.firstTokenMillis(P95),
                String.format(
                        Locale.ROOT, "%.1f / %.1f", report.betweenTokensMillis(P50), report.betweenTokensMillis(P95)),
                report.refusedByVerdict());
    }
}
