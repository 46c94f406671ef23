package io.lagoonseam.bench.experiment.policy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Composes the plot, the JSON result and the Markdown report of compared policies. */
public final class PolicyReport {

    private static final int PLOT_WIDTH_PIXELS = 900;
    private static final int PLOT_HEIGHT_PIXELS = 500;

    private PolicyReport() {}

    /**
     * Writes {@code attainment.png} and composes the result of an experiment.
     *
     * @param scenario the scenario that all policies ran
     * @param results the results, one for each policy
     * @param context the seed and the output folder
     * @return the result, with the violations that fail the run
     * @throws IOException if the plot cannot be written
     */
    public static ExperimentResult compose(
            PolicyScenario scenario, List<PolicyResult> results, ExperimentContext context) throws IOException {
        plot(scenario, results, context);
        ObjectNode fields = new ObjectMapper().createObjectNode();
        fields.put("experiment", scenario.name()).put("seed", context.seed());
        ObjectNode policies = fields.putObject("policies");
        results.forEach(result -> policies.set(result.policy().name(), result.toJson()));
        long violations =
                results.stream().mapToLong(PolicyResult::failingViolations).sum();
        fields.put("invariantViolations", violations);
        return new ExperimentResult(fields, markdown(scenario, results, context.seed()), violations);
    }

    private static void plot(PolicyScenario scenario, List<PolicyResult> results, ExperimentContext context)
            throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(PLOT_WIDTH_PIXELS)
                .height(PLOT_HEIGHT_PIXELS)
                .title(scenario.name() + ": attainment by class")
                .xAxisTitle("class")
                .yAxisTitle("attainment")
                .build();
        for (PolicyResult result : results) {
            List<Double> values = new ArrayList<>();
            result.classes().values().forEach(classResult -> values.add(classResult.attainment()));
            chart.addSeries(
                    result.policy().name(), new ArrayList<>(result.classes().keySet()), values);
        }
        String file = context.outputFolder().resolve("attainment.png").toString();
        BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
    }

    private static String markdown(PolicyScenario scenario, List<PolicyResult> results, long seed) {
        StringBuilder text = new StringBuilder();
        text.append("# ")
                .append(scenario.name())
                .append("\n\nSeed ")
                .append(seed)
                .append(". Attainment counts refused requests as missed.\n\n");
        text.append(
                "| policy | class | requests | answered | attainment | of answered | first token p95 ms | between p95 ms | longest wait ms | limit ms |\n");
        text.append("|---|---|---|---|---|---|---|---|---|---|\n");
        results.forEach(result -> result.classes()
                .forEach((name, classResult) ->
                        text.append(classRow(result.policy().name(), name, classResult))));
        text.append(
                "\n| policy | goodput tokens/s | offered tokens/s | share | wasted | wrong answers | violations |\n");
        text.append("|---|---|---|---|---|---|---|\n");
        results.forEach(result -> text.append(policyRow(result)));
        return text.toString();
    }

    private static String classRow(String policy, String name, ClassResult classResult) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %d | %.4f | %.4f | %d | %.1f | %d | %d |%n",
                policy,
                name,
                classResult.requests(),
                classResult.answered(),
                classResult.attainment(),
                classResult.attainmentOfAnswered(),
                classResult.firstTokenP95Millis(),
                classResult.betweenTokensP95Millis(),
                classResult.longestWaitMillis(),
                classResult.longestWaitLimitMillis());
    }

    private static String policyRow(PolicyResult result) {
        return String.format(
                Locale.ROOT,
                "| %s | %.0f | %.0f | %.3f | %.4f | %d | %d |%n",
                result.policy().name(),
                result.goodputTokensPerSecond(),
                result.offeredTokensPerSecond(),
                result.goodputShare(),
                result.wastedTokensRatio(),
                result.wrongAnswers(),
                result.invariantViolations());
    }
}
