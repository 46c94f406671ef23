package io.lagoonseam.bench.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The result of an experiment.
 *
 * @param fields the content of {@code result.json}
 * @param report a Markdown report
 * @param invariantViolations the violations of all runs
 */
public record ExperimentResult(ObjectNode fields, String report, long invariantViolations) {}
