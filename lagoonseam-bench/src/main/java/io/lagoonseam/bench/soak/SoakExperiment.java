package io.lagoonseam.bench.soak;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import io.lagoonseam.bench.experiment.InvalidOptionException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Runs nodes as separate processes while they are stopped, killed, suspended and reloaded, while workers of two
 * software versions name limits and break off streams, and while the store is away, for one or more seeds.
 */
public final class SoakExperiment implements Experiment {

    private static final long DEFAULT_SECONDS = 30;
    private static final int DEFAULT_NODES = 3;
    private static final int MAX_NODES = 24;

    /** The share of requests that has to be served once the faults are over. */
    private static final double MIN_LAST_SERVED = 0.9;

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String summary() {
        return "Nodes as processes under signals and workers with limits, checked by what callers and workers saw";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws Exception {
        long seconds = number(context.options(), "seconds", DEFAULT_SECONDS, Long.MAX_VALUE / 1_000);
        int nodes = (int) number(context.options(), "nodes", DEFAULT_NODES, MAX_NODES);
        int seeds = (int) number(context.options(), "seeds", 1, 10_000);
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        StringBuilder report = new StringBuilder("# Soak with processes\n\n"
                + "| seed | nodes | requests | served | refused | with a limit | taken up | configurations | left | crashes | served at the end | faults | violations |\n"
                + "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
        List<String> found = new ArrayList<>();
        for (long seed = context.seed(); seed < context.seed() + seeds; seed++) {
            Path folder = Files.createDirectories(context.outputFolder().resolve("seed-" + seed));
            SoakRun.Result result;
            try (SoakRun run = new SoakRun(folder, seed, nodes, TimeUnit.SECONDS.toMillis(seconds))) {
                result = run.run();
            }
            List<String> violations = new ArrayList<>(result.violations());
            if (result.lastServedShare() < MIN_LAST_SERVED) {
                violations.add("EVERY_CLASS_SERVED only " + result.lastServedShare() + " served after the last fault");
            }
            Map<SoakLog.NodeAction, Integer> faults = new TreeMap<>();
            result.nodeEvents().forEach(event -> faults.merge(event.action(), 1, Integer::sum));
            String row = String.format(
                    "| %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %.3f | %s, %d limits | %d |",
                    seed,
                    nodes,
                    result.calls(),
                    result.served(),
                    result.refused(),
                    result.limited(),
                    result.takenUp(),
                    result.configurations(),
                    result.drains(),
                    result.crashes(),
                    result.lastServedShare(),
                    faults,
                    result.limitChanges().size(),
                    violations.size());
            report.append(row).append('\n');
            context.progress().println(row);
            ObjectNode of = fields.putObject("seed-" + seed);
            of.put("requests", result.calls()).put("served", result.served()).put("refused", result.refused());
            of.put("withLimit", result.limited()).put("takenUp", result.takenUp());
            of.put("violations", violations.size());
            for (String violation : violations) {
                String line = "seed " + seed + ": " + violation + "; again: lagoonseam experiment soak --seed " + seed
                        + " --nodes " + nodes + " --seconds " + seconds;
                context.progress().println(line);
                found.add(line);
            }
        }
        found.forEach(line -> report.append("\n- ").append(line));
        return new ExperimentResult(fields, report.toString(), found.size());
    }

    private static long number(Map<String, String> options, String name, long fallback, long max) {
        String text = options.getOrDefault(name, Long.toString(fallback));
        if (!text.matches("\\d{1,15}") || Long.parseLong(text) < 1 || Long.parseLong(text) > max) {
            throw new InvalidOptionException(
                    "--" + name + " must be a number from 1 to " + max + ", got '" + text + "'");
        }
        return Long.parseLong(text);
    }
}
