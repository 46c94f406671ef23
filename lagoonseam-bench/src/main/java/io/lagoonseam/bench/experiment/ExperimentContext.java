package io.lagoonseam.bench.experiment;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

/**
 * The inputs of an experiment run.
 *
 * @param seed the seed of every random number generator of the run
 * @param outputFolder the existing folder to which plots and reports are written
 * @param progress the stream to which progress lines are printed
 * @param options further command-line options, values by name
 */
public record ExperimentContext(long seed, Path outputFolder, PrintStream progress, Map<String, String> options) {

    /** Makes an immutable copy of the options. */
    public ExperimentContext {
        options = Map.copyOf(options);
    }
}
