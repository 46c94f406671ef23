package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.retry.HedgeDelay;
import io.lagoonseam.core.retry.JitteredBackoff;
import io.lagoonseam.core.retry.RetryBudget;
import io.lagoonseam.core.stream.TokenGapLimit;
import io.lagoonseam.core.time.TimeSource;
import java.util.random.RandomGenerator;

/** Retry budget, retry backoff, hedge delay and token gap limit shared by the requests of one service. */
final class ServiceRecovery {

    private static final double RETRY_BUDGET_RATIO = 0.15;
    private static final long BACKOFF_BASE_MILLIS = 20;
    private static final long BACKOFF_CAP_MILLIS = 500;

    private final RetryBudget budget;
    private final JitteredBackoff backoff;
    private final HedgeDelay hedgeDelay = new HedgeDelay();
    private final TokenGapLimit gapLimit = new TokenGapLimit();

    ServiceRecovery(TimeSource time, RandomGenerator random) {
        this.budget = new RetryBudget(RETRY_BUDGET_RATIO, time);
        this.backoff = new JitteredBackoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, random);
    }

    RetryBudget budget() {
        return budget;
    }

    JitteredBackoff backoff() {
        return backoff;
    }

    HedgeDelay hedgeDelay() {
        return hedgeDelay;
    }

    TokenGapLimit gapLimit() {
        return gapLimit;
    }
}
