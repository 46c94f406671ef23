package io.lagoonseam.bench.experiment;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

/**
 * What an experiment is given.
 *
 * @param seed the seed of all random choices
 * @param outputFolder where plots go
 * @param progress where progress is printed
 * @param options further options of the command line by name
 */
public record ExperimentContext(long seed, Path outputFolder, PrintStream progress, Map<String, String> options) {

    /** Copies the options. */
    public ExperimentContext {
        options = Map.copyOf(options);
    }
}
