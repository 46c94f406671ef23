package io.lagoonseam.core.forward;

/**
 * Detects workers whose failure rate is significantly above that of the other workers of their service. Requests that
 * fail because of their own content fail at every worker alike, so the failure rate of the other workers is the rate
 * expected of a healthy one.
 */
public final class FailureComparison {

    /**
     * Prior added to the observed outcomes of the other workers: three outcomes, half a failure, thus one failure in
     * six.
     */
    private static final double PRIOR_OUTCOMES = 3;

    private static final double PRIOR_FAILURES = 0.5;

    /**
     * The minimum failure rate for an ejection, since the other workers have to take over the ejected worker's
     * requests.
     */
    private static final double MIN_FAILURE_RATE = 0.25;

    /** The minimum number of failures; with fewer, chance is not ruled out. */
    private static final int MIN_FAILURES = 4;

    /**
     * The minimum difference between the failure rates, in standard deviations of the difference. It gives about one
     * false positive in 300 tests; the rate has to be low because each periodic check tests each worker again.
     */
    private static final double MIN_DEVIATIONS = 2.7;

    private FailureComparison() {}

    /**
     * Returns whether a worker fails significantly more often than the others.
     *
     * @param worker the outcomes of the attempts at the worker
     * @param others the outcomes of the attempts at the other workers of its service
     * @return whether its failure rate is significantly above theirs
     */
    public static boolean failsMoreOften(OutcomeCount worker, OutcomeCount others) {
        return worker.failures() >= MIN_FAILURES && failsMoreOften(worker.outcomes(), worker.failures(), others);
    }

    /** Compares counts that may be weighted. The caller ensures that there are enough outcomes. */
    static boolean failsMoreOften(double outcomes, double failures, OutcomeCount others) {
        if (failures < MIN_FAILURE_RATE * outcomes) {
            return false;
        }
        double otherOutcomes = others.outcomes() + PRIOR_OUTCOMES;
        double otherFailures = others.failures() + PRIOR_FAILURES;
        double pooledRate = (failures + otherFailures) / (outcomes + otherOutcomes);
        double standardDeviation = Math.sqrt(pooledRate * (1 - pooledRate) * (1 / outcomes + 1 / otherOutcomes));
        return failures / outcomes - otherFailures / otherOutcomes > MIN_DEVIATIONS * standardDeviation;
    }
}
