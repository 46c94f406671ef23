package io.lagoonseam.bench.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The result of an experiment.
 *
 * @param fields the content of {@code result.json}
 * @param report the report in Markdown, written to {@code report.md}
 * @param invariantViolations the number of invariant violations, summed over all runs of the experiment
 */
public record ExperimentResult(ObjectNode fields, String report, long invariantViolations) {}
