package io.lagoonseam.cli;

import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentRunner;
import io.lagoonseam.bench.experiment.Experiments;
import io.lagoonseam.bench.experiment.InvalidOptionException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs an experiment by its name and writes its results to a folder. */
final class ExperimentCommand implements Command {

    private static final String[] EXPERIMENT_OPTIONS = {"minutes", "deployment", "seconds", "nodes", "seeds"};

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String arguments() {
        return Experiments.all().stream().map(Experiment::name).collect(Collectors.joining("|"));
    }

    @Override
    public String summary() {
        return "Run an experiment and write result.json and report.md; exit 1 when an invariant fails";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.seed())
                .addOption(CommandOptions.of("out", "DIR", "The output folder (default out/NAME)"))
                .addOption(CommandOptions.of("minutes", "M", "The duration of a random run in minutes"))
                .addOption(CommandOptions.of("seconds", "S", "The duration of a measured run in seconds"))
                .addOption(CommandOptions.of("nodes", "N", "The number of nodes of a soak"))
                .addOption(CommandOptions.of("seeds", "N", "The number of seeds of a soak, from --seed on"))
                .addOption(CommandOptions.of("deployment", "NAME", "lashkeep (default) or jadran"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        String name = CommandOptions.singleArgument(line, arguments());
        Experiment experiment =
                Experiments.find(name).orElseThrow(() -> new UsageException("'" + name + "' is not an experiment"));
        Path folder = Path.of(line.getOptionValue("out", "out/" + name));
        Map<String, String> experimentOptions = new HashMap<>();
        for (String option : EXPERIMENT_OPTIONS) {
            if (line.hasOption(option)) {
                experimentOptions.put(option, line.getOptionValue(option));
            }
        }
        ExperimentContext context = new ExperimentContext(CommandOptions.seed(line), folder, out, experimentOptions);
        try {
            return ExperimentRunner.run(experiment, context) ? ExitCode.SUCCESS : ExitCode.FAILURE;
        } catch (InvalidOptionException e) {
            throw new UsageException(e.getMessage(), e);
        }
    }
}
