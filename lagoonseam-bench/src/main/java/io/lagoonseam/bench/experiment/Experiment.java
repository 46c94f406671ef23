package io.lagoonseam.bench.experiment;

/** A named, repeatable run that measures the system and reports its results. */
public interface Experiment {

    /**
     * Returns the name by which the command line selects the experiment.
     *
     * @return the name, unique among all experiments
     */
    String name();

    /**
     * Returns a description of what is measured.
     *
     * @return one sentence for the help text
     */
    String summary();

    /**
     * Runs the experiment and blocks until it has ended.
     *
     * @param context the seed, the output folder and the progress stream
     * @return the result
     * @throws Exception if the run cannot be started or completed
     */
    ExperimentResult run(ExperimentContext context) throws Exception;
}
