package io.lagoonseam.bench.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;

/** Runs an experiment and writes {@code result.json} and {@code report.md}. */
public final class ExperimentRunner {

    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private ExperimentRunner() {}

    /**
     * Runs an experiment.
     *
     * @param experiment the experiment
     * @param context what it is given
     * @return whether no invariant was violated
     * @throws Exception if the run could not be made or its result not be written
     */
    public static boolean run(Experiment experiment, ExperimentContext context) throws Exception {
        Files.createDirectories(context.outputFolder());
        ExperimentResult result = experiment.run(context);
        if (!result.fields().has("invariantViolations")) {
            result.fields().put("invariantViolations", result.invariantViolations());
        }
        write(context, result);
        context.progress().println(result.report());
        return result.invariantViolations() == 0;
    }

    private static void write(ExperimentContext context, ExperimentResult result) throws IOException {
        MAPPER.writeValue(context.outputFolder().resolve("result.json").toFile(), result.fields());
        Files.writeString(context.outputFolder().resolve("report.md"), result.report());
    }
}
