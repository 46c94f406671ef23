package io.lagoonseam.core.forward;

/**
 * Decides whether a worker fails more than the others of its service. Requests that fail of themselves fail at each
 * worker alike, so the others' share of failures is what a healthy worker is expected to have.
 */
public final class FailureComparison {

    /** Outcomes of the others that are assumed besides those that were seen: one failure in six. */
    private static final double ASSUMED_OUTCOMES = 3;

    private static final double ASSUMED_FAILURES = 0.5;

    /** The share of failures below which a worker is not worth setting aside, since the others get its work. */
    private static final double LEAST_FAILING = 0.25;

    /** The failures below which chance is not ruled out. */
    private static final int LEAST_FAILURES = 4;

    /**
     * How far the shares have to differ, in standard deviations of the difference: one in 300 by chance, since each
     * round looks at each worker again.
     */
    private static final double DEVIATIONS = 2.7;

    private FailureComparison() {}

    /**
     * Compares a worker with the others.
     *
     * @param worker what came of the attempts at the worker
     * @param others what came of the attempts at the others
     * @return whether it fails more than they do
     */
    public static boolean fails(OutcomeCount worker, OutcomeCount others) {
        return worker.failures() >= LEAST_FAILURES && fails(worker.outcomes(), worker.failures(), others);
    }

    /** Compares counts that may be weighted; whether there are enough of them is the caller's matter. */
    static boolean fails(double outcomes, double failures, OutcomeCount others) {
        if (failures < LEAST_FAILING * outcomes) {
            return false;
        }
        double outcomesThere = others.outcomes() + ASSUMED_OUTCOMES;
        double failuresThere = others.failures() + ASSUMED_FAILURES;
        double common = (failures + failuresThere) / (outcomes + outcomesThere);
        double deviation = Math.sqrt(common * (1 - common) * (1 / outcomes + 1 / outcomesThere));
        return failures / outcomes - failuresThere / outcomesThere > DEVIATIONS * deviation;
    }
}
