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
     * Runs an experiment, writes its files to the output folder and prints its report.
     *
     * @param experiment the experiment to run
     * @param context the inputs of the run; its output folder is created if it does not exist
     * @return true if no invariant was violated
     * @throws Exception if the run cannot be completed or its result cannot be written
     */
    public static boolean run(Experiment experiment, ExperimentContext context) throws Exception {
        Files.createDirectories(context.outputFolder());
        ExperimentResult result = experiment.run(context);
        if (!result.fields().has("invariantViolations")) {
            result.fields().put("invariantViolations", result.invariantViolations());
        }
        writeFiles(context, result);
        context.progress().println(result.report());
        return result.invariantViolations() == 0;
    }

    private static void writeFiles(ExperimentContext context, ExperimentResult result) throws IOException {
        MAPPER.writeValue(context.outputFolder().resolve("result.json").toFile(), result.fields());
        Files.writeString(context.outputFolder().resolve("report.md"), result.report());
    }
}
