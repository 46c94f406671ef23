/** Comparison of policies on the same traffic: the chosen ones beside two baselines in one run. */
package io.lagoonseam.bench.experiment.policy;
