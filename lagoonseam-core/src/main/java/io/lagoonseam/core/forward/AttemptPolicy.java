package io.lagoonseam.core.forward;

/**
 * Decides the next step after an attempt. A request that may have run is retried only if its work may run more than
 * once. Every retry after an attempt that reached a worker is taken from the retry budget.
 */
public final class AttemptPolicy {

    /**
     * The maximum number of connection attempts for a request that has not reached a worker; enough to get past an
     * unreachable data centre.
     */
    private static final int MAX_CONNECT_ATTEMPTS = 4;

    /** The maximum number of rejections of one request by workers; several workers in a row may be full or replaced. */
    private static final int MAX_REJECTIONS = 3;

    /** The minimum remaining time for another attempt, in milliseconds: one network round trip to a worker. */
    private static final long MIN_ATTEMPT_MILLIS = 15;

    private AttemptPolicy() {}

    /**
     * The attempts of a request so far.
     *
     * @param kind whether its work may run more than once and whether its answer is streamed
     * @param maxAttempts the maximum number of workers that may run it
     * @param runs the number of workers that have run it or may have run it
     * @param rejections the number of workers that proved that they did not run it
     * @param connectFailures the number of connections that could not be established
     * @param leftMillis the time until its deadline, in milliseconds
     */
    public record History(
            WorkKind kind, int maxAttempts, int runs, int rejections, int connectFailures, long leftMillis) {

        boolean mayHaveRun() {
            return runs > 0;
        }
    }

    /** Acquires retries from the retry budget. Called only if all other conditions allow the retry. */
    @FunctionalInterface
    public interface RetryPermits {

        /**
         * Acquires one retry.
         *
         * @return whether the retry may be sent
         */
        boolean tryAcquire();
    }

    /**
     * Decides the next step after an attempt.
     *
     * @param result the outcome of the attempt
     * @param history the history of the request, this attempt included
     * @param retryPermits the retry budget
     * @return the next step
     */
    public static NextStep next(AttemptResult result, History history, RetryPermits retryPermits) {
        if (result instanceof AttemptResult.Answered answered) {
            boolean failed = answered.status() >= 500;
            boolean retry = failed
                    && history.kind() == WorkKind.IDEMPOTENT
                    && history.runs() < history.maxAttempts()
                    && history.leftMillis() >= MIN_ATTEMPT_MILLIS
                    && retryPermits.tryAcquire();
            return retry ? NextStep.RETRY : NextStep.FORWARD_ANSWER;
        }
        NextStep finalStep = history.mayHaveRun() ? NextStep.FAIL : NextStep.REFUSE;
        boolean allowed =
                history.leftMillis() >= MIN_ATTEMPT_MILLIS && (history.kind().retryable() || !history.mayHaveRun());
        if (!allowed) {
            return finalStep;
        }
        if (result instanceof AttemptResult.NotRun notRun && !notRun.arrived()) {
            // a retry that was taken from the budget for this attempt has not been used
            return history.connectFailures() < MAX_CONNECT_ATTEMPTS ? NextStep.RETRY : finalStep;
        }
        // rejections don't count against the route's maxAttempts, but each retry is taken from the retry budget
        boolean attemptsLeft = history.runs() < history.maxAttempts() && history.rejections() < MAX_REJECTIONS;
        return attemptsLeft && retryPermits.tryAcquire() ? NextStep.RETRY : finalStep;
    }
}
