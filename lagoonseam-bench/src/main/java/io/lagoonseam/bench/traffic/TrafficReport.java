package io.lagoonseam.bench.traffic;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** What was seen of all classes. */
public final class TrafficReport {

    private static final double P50 = 50;
    private static final double P95 = 95;

    private static final long SLOT_MILLIS = 100;

    private final Map<String, ClassReport> classes = new LinkedHashMap<>();
    private final List<String> keysNotRun = new ArrayList<>();
    private final NavigableMap<Long, Long> tokensBySlot = new TreeMap<>();

    ClassReport ofClass(String name) {
        return classes.computeIfAbsent(name, unknown -> new ClassReport());
    }

    static long slot(long elapsedMillis) {
        return elapsedMillis / SLOT_MILLIS;
    }

    void wholeAnswer(Map<Long, Integer> answerTokensBySlot) {
        answerTokensBySlot.forEach((slot, tokens) -> tokensBySlot.merge(slot, (long) tokens, Long::sum));
    }

    /**
     * Returns the tokens of whole answers that came within a time.
     *
     * @param startMillis its start, from the start of the traffic, a multiple of 100
     * @param endMillis its end, a multiple of 100
     * @return tokens
     */
    public long tokensBetween(long startMillis, long endMillis) {
        return tokensBySlot.subMap(slot(startMillis), slot(endMillis)).values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    void addKeyNotRun(String key) {
        keysNotRun.add(key);
    }

    /**
     * Returns the idempotency keys of the requests that were refused as not run.
     *
     * @return keys
     */
    public List<String> keysNotRun() {
        return List.copyOf(keysNotRun);
    }

    /**
     * Returns the reports of the classes.
     *
     * @return reports by class
     */
    public Map<String, ClassReport> classes() {
        return Collections.unmodifiableMap(classes);
    }

    /**
     * Returns the answers that were somebody else's or not whole.
     *
     * @return answers of all classes
     */
    public long wrongAnswers() {
        return classes.values().stream().mapToLong(ClassReport::wrongAnswers).sum();
    }

    /**
     * Returns the requests that have ended, answered or not.
     *
     * @return requests of all classes
     */
    public long ended() {
        return classes.values().stream().mapToLong(ClassReport::ended).sum();
    }

    /**
     * Returns the requests sent.
     *
     * @return requests of all classes
     */
    public long requests() {
        return classes.values().stream().mapToLong(ClassReport::requests).sum();
    }

    /**
     * Returns the tokens of whole answers.
     *
     * @return tokens of all classes
     */
    public long tokens() {
        return classes.values().stream().mapToLong(ClassReport::tokens).sum();
    }

    /**
     * Returns the connections that broke without a final answer.
     *
     * @return connections of all classes
     */
    public long brokenAnswers() {
        return classes.values().stream().mapToLong(ClassReport::brokenAnswers).sum();
    }

    /**
     * Renders a table.
     *
     * @return one line for each class
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
