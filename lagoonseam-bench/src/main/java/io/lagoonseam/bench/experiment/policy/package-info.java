/** Comparison of the chosen admission and routing policies with two baselines under the same traffic in one run. */
package io.lagoonseam.bench.experiment.policy;
