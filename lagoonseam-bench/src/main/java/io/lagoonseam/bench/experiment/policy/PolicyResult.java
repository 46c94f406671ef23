package io.lagoonseam.bench.experiment.policy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.core.invariant.Invariant;
import java.util.Map;

/**
 * The measurements of one policy in one run of a scenario.
 *
 * @param policy the compared policy
 * @param classes results by class name
 * @param goodputTokensPerSecond the rate of tokens of complete answers that arrived within the window
 * @param offeredTokensPerSecond the rate of tokens that the engines could have generated within the window
 * @param wastedTokensRatio the share of generated tokens that were not part of a complete answer, from 0 to 1
 * @param wrongAnswers the number of answers that belonged to another request or were incomplete
 * @param violations the number of violations by invariant
 */
public record PolicyResult(
        ComparedPolicy policy,
        Map<String, ClassResult> classes,
        double goodputTokensPerSecond,
        double offeredTokensPerSecond,
        double wastedTokensRatio,
        long wrongAnswers,
        Map<Invariant, Long> violations) {

    /**
     * Returns the share of the offered capacity that became complete answers.
     *
     * @return from 0 to about 1
     */
    public double goodputShare() {
        return offeredTokensPerSecond == 0 ? 0 : goodputTokensPerSecond / offeredTokensPerSecond;
    }

    /**
     * Returns the number of violations of all invariants.
     *
     * @return the number of violations, including wrong answers
     */
    public long invariantViolations() {
        return wrongAnswers
                + violations.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the number of violations that fail a run. All violations of the chosen policies count; those of a
     * baseline count unless its order of service causes them.
     *
     * @return the number of violations
     */
    public long failingViolations() {
        if (policy.chosen()) {
            return invariantViolations();
        }
        return invariantViolations()
                - violations.getOrDefault(Invariant.EVERY_CLASS_SERVED, 0L)
                - violations.getOrDefault(Invariant.URGENT_NEVER_SHED, 0L);
    }

    /**
     * Returns the longest wait of any class.
     *
     * @return milliseconds
     */
    public long longestWaitMillis() {
        return classes.values().stream()
                .mapToLong(ClassResult::longestWaitMillis)
                .max()
                .orElse(0);
    }

    /**
     * Returns the result as JSON.
     *
     * @return the JSON object that {@code result.json} holds under the policy's name
     */
    public ObjectNode toJson() {
        ObjectNode json = new ObjectMapper().createObjectNode();
        ObjectNode attainment = json.putObject("attainment");
        classes.forEach((name, result) -> attainment.put(name, result.attainment()));
        ObjectNode detail = json.putObject("classes");
        classes.forEach((name, result) -> detail.putObject(name)
                .put("requests", result.requests())
                .put("answered", result.answered())
                .put("attainmentOfAnswered", result.attainmentOfAnswered())
                .put("firstTokenP95Millis", result.firstTokenP95Millis())
                .put("betweenTokensP95Millis", result.betweenTokensP95Millis())
                .put("longestWaitMillis", result.longestWaitMillis())
                .put("longestWaitLimitMillis", result.longestWaitLimitMillis()));
        ObjectNode counted = json.putObject("violationsByInvariant");
        violations.forEach((invariant, count) -> counted.put(invariant.name(), count));
        return json.put("goodputTokensPerSecond", goodputTokensPerSecond)
                .put("offeredTokensPerSecond", offeredTokensPerSecond)
                .put("goodputShare", goodputShare())
                .put("wastedTokensRatio", wastedTokensRatio)
                .put("longestWaitMillis", longestWaitMillis())
                .put("wrongAnswers", wrongAnswers)
                .put("invariantViolations", invariantViolations());
    }
}
