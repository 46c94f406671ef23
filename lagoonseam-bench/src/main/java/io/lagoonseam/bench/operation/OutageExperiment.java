package io.lagoonseam.bench.operation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;

/**
 * Simulates keyed actions while nodes crash or pause and the platform is down, slow or loses answers, with 10 seeds of
 * 10,000 keys at 200 actions per second. Counts the actions that ran twice, the wrong reports of not run and the lost
 * answers.
 */
public final class OutageExperiment implements Experiment {

    private static final int SEEDS = 10;
    private static final int ACTIONS = 10_000;
    private static final double RATE_PER_SECOND = 200;

    @Override
    public String name() {
        return "outage";
    }

    @Override
    public String summary() {
        return "keyed actions while nodes crash and pause and the platform fails, in virtual time: correctness of the journal";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) {
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        ArrayNode runs = fields.putArray("runs");
        StringBuilder report = new StringBuilder(
                "# Keyed actions under faults\n\nVirtual time, 8 nodes in 2 data centres, "
                        + ACTIONS + " keys for each seed.\n\n"
                        + "| seed | ran | twice | false not run | answers lost | most writes/s | faults |\n|---|---|---|---|---|---|---|\n");
        Totals totals = new Totals();
        for (int index = 0; index < SEEDS; index++) {
            long seed = context.seed() + index;
            JournalRunResult result = new JournalRun(seed).runWithFaults(ACTIONS, RATE_PER_SECOND);
            totals.add(result);
            result.writeCorrectness(runs.addObject().put("seed", seed));
            ActionOracle oracle = result.oracle();
            report.append("| ").append(seed).append(" | ").append(oracle.keysRun());
            report.append(" | ").append(oracle.actionsRunTwice()).append(" | ").append(oracle.falseNotRun());
            report.append(" | ").append(oracle.answersLost()).append(" | ").append(result.mostWritesInOneSecond());
            report.append(" | ").append(result.faults()).append(" |\n");
            context.progress().println("seed " + seed + ": " + result.faults());
        }
        totals.write(fields);
        return new ExperimentResult(fields, report.toString(), totals.violations);
    }

    private static final class Totals {

        private long actionsRunTwice;
        private long falseNotRun;
        private long answersLost;
        private long violations;

        private void add(JournalRunResult result) {
            actionsRunTwice += result.oracle().actionsRunTwice();
            falseNotRun += result.oracle().falseNotRun();
            answersLost += result.oracle().answersLost();
            violations += result.violations();
        }

        private void write(ObjectNode fields) {
            fields.put("actionsRunTwice", actionsRunTwice)
                    .put("falseNotRun", falseNotRun)
                    .put("answersLost", answersLost)
                    .put("invariantViolations", violations);
        }
    }
}
