package io.lagoonseam.bench.experiment.policy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.core.invariant.Invariant;
import java.util.Map;

/**
 * What one policy achieved.
 *
 * @param policy the policies
 * @param classes results by class
 * @param goodputTokensPerSecond tokens of whole answers that came within the window
 * @param offeredTokensPerSecond what the engines could have generated within the window
 * @param wastedTokensRatio the share of generated tokens that were not part of a whole answer
 * @param wrongAnswers answers that were somebody else's or not whole
 * @param violations violations by invariant
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
     * Returns the part of the offered capacity that became whole answers.
     *
     * @return from 0 to about 1
     */
    public double goodputShare() {
        return offeredTokensPerSecond == 0 ? 0 : goodputTokensPerSecond / offeredTokensPerSecond;
    }

    /**
     * Returns the violations of all invariants.
     *
     * @return violations, wrong answers among them
     */
    public long invariantViolations() {
        return wrongAnswers
                + violations.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the violations that fail a run: all of the chosen policies', and of a baseline's those that do not come
     * from its order of service.
     *
     * @return violations
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
     * @return the object under the policy's name
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
