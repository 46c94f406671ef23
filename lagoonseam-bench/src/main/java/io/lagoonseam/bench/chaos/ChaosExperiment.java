package io.lagoonseam.bench.chaos;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.configuration.FileSetReader;
import io.lagoonseam.entry.configuration.SourceFile;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs the whole system under traffic and randomly planned faults and checks every invariant. */
public final class ChaosExperiment implements Experiment {

    private static final int NODES = 6;
    private static final long DEFAULT_SECONDS = 25;
    private static final String HOME_PROPERTY = "lagoonseam.home";

    @Override
    public String name() {
        return "chaos";
    }

    @Override
    public String summary() {
        return "A random run over the whole system under seeded faults, with every invariant asserted";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws Exception {
        String deployment = context.options().getOrDefault("deployment", "lashkeep");
        Path example = Path.of(System.getProperty(HOME_PROPERTY, "."))
                .resolve("examples")
                .resolve(deployment);
        long runMillis = TimeUnit.SECONDS.toMillis(seconds(context));
        List<PlannedFault> schedule = FaultPlanGenerator.generate(context.seed(), runMillis);
        TrafficProfile exampleProfile =
                TrafficProfile.read(example.resolve("traffic").resolve("profile.yaml"));
        TrafficProfile profile = new TrafficProfile(runMillis, exampleProfile.classes());
        List<SourceFile> files = FileSetReader.readFolder(example, new ConfigurationErrorReporter());
        EventRecorder events = new EventRecorder();
        try (LocalFleet fleet = LocalFleet.start(files, NODES, context.seed(), events)) {
            ChaosRun.Outcome outcome =
                    new ChaosRun(fleet, profile, schedule, events, context.progress(), context.seed()).run();
            return result(context, deployment, schedule, outcome);
        }
    }

    private static long seconds(ExperimentContext context) {
        if (context.options().containsKey("minutes")) {
            return TimeUnit.MINUTES.toSeconds(Long.parseLong(context.options().get("minutes")));
        }
        return Long.parseLong(context.options().getOrDefault("seconds", Long.toString(DEFAULT_SECONDS)));
    }

    private static ExperimentResult result(
            ExperimentContext context, String deployment, List<PlannedFault> schedule, ChaosRun.Outcome outcome) {
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        fields.put("seed", context.seed());
        fields.put("deployment", deployment);
        fields.put("plannedFaults", schedule.size());
        fields.put("keyedActions", outcome.actions());
        ObjectNode faults = fields.putObject("faults");
        outcome.faults().forEach((kind, count) -> faults.put(kind.name(), count));
        ObjectNode violations = fields.putObject("violations");
        outcome.violations().forEach(violations::put);
        StringBuilder report = new StringBuilder("# Random run, " + deployment + ", seed " + context.seed() + "\n\n");
        report.append("faults: ")
                .append(outcome.faults())
                .append("\n\nviolations: ")
                .append(outcome.violations());
        report.append("\n\n```\n").append(outcome.traffic().table()).append("```\n");
        if (!outcome.aroundFirstViolation().isEmpty()) {
            report.append("\nAround the first violation:\n\n");
            outcome.aroundFirstViolation()
                    .forEach(line -> report.append("    ").append(line).append('\n'));
        }
        return new ExperimentResult(fields, report.toString(), outcome.totalViolations());
    }
}
