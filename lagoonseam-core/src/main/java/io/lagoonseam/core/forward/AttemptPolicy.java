package io.lagoonseam.core.forward;

import io.lagoonseam.core.verdict.Verdict;

/**
 * Decides what follows an attempt. A request that may have run is sent again only if its work may run more than once;
 * every further send that follows an arrival is taken from the repeat budget.
 */
public final class AttemptPolicy {

    /** The connections that one request tries without an arrival: a few, so that a dead data centre is passed over. */
    private static final int CONNECT_TRIES = 4;

    /** The workers that may reject one request: a few, since one of them after the other may be full or replaced. */
    private static final int REJECTIONS = 3;

    /** The least time that is worth another attempt, in milliseconds: the way to a worker and back. */
    private static final long LEAST_MILLIS = 15;

    private AttemptPolicy() {}

    /**
     * The history of a request.
     *
     * @param kind how often its work may run
     * @param maxAttempts the most workers that may run it
     * @param runs the workers that have run it or may have
     * @param rejections the workers that proved that they did not run it
     * @param connectFailures the connections that were not made
     * @param leftMillis the time that is left to it
     */
    public record History(
            WorkKind kind, int maxAttempts, int runs, int rejections, int connectFailures, long leftMillis) {

        boolean mayHaveRun() {
            return runs > 0;
        }
    }

    /** Takes one repeat of the budget; asked only when all else allows the send. */
    @FunctionalInterface
    public interface Allowance {

        /**
         * Takes a repeat.
         *
         * @return whether it may be sent
         */
        boolean tryTake();
    }

    /**
     * Decides what follows an attempt.
     *
     * @param result what came of it
     * @param history the request with this attempt counted
     * @param allowance the repeat budget
     * @return the next step
     */
    public static NextStep next(AttemptResult result, History history, Allowance allowance) {
        if (result instanceof AttemptResult.Answered answered) {
            boolean failed = answered.status() >= 500;
            boolean repeat = failed
                    && history.kind() == WorkKind.IDEMPOTENT
                    && history.runs() < history.maxAttempts()
                    && history.leftMillis() >= LEAST_MILLIS
                    && allowance.tryTake();
            return repeat ? NextStep.SEND_AGAIN : NextStep.PASS_ANSWER;
        }
        NextStep end = history.mayHaveRun() ? NextStep.FAIL : NextStep.REFUSE;
        boolean allowed =
                history.leftMillis() >= LEAST_MILLIS && (history.kind().repeatable() || !history.mayHaveRun());
        if (!allowed) {
            return end;
        }
        if (result.verdict() instanceof Verdict.NotRun && history.runs() + history.rejections() == 0) {
            return history.connectFailures() < CONNECT_TRIES ? NextStep.SEND_AGAIN : end;
        }
        // a rejection is no run, so it leaves the attempts of the route alone, but each send takes from the budget
        boolean further = history.runs() < history.maxAttempts() && history.rejections() < REJECTIONS;
        return further && allowance.tryTake() ? NextStep.SEND_AGAIN : end;
    }
}
