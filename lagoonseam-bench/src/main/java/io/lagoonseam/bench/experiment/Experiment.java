package io.lagoonseam.bench.experiment;

/** A named run that measures the system. */
public interface Experiment {

    /**
     * Returns the name on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Returns what is measured.
     *
     * @return one sentence
     */
    String summary();

    /**
     * Runs the experiment to its end.
     *
     * @param context the seed, the output folder and the progress stream
     * @return the result
     * @throws Exception if the run could not be made
     */
    ExperimentResult run(ExperimentContext context) throws Exception;
}
