package io.lagoonseam.core.quarantine;

/** When requests with a suspect that is in quarantine are let through, one at a time, to see whether it still holds. */
final class TrialSchedule {

    /** How long the answer to a request that was let through is awaited, in milliseconds. */
    private static final long RUNNING_MILLIS = 15_000;

    /** The time from the last crash to the first request that is let through, in milliseconds. */
    private static final long FIRST_MILLIS = 60_000;

    /** By how much the time grows from one request to the next. */
    private static final int GROWTH = 4;

    private static final int MAX_GROWTHS = 3;

    /** How long after a crash all nodes know what else explains it, in milliseconds. */
    private static final long QUIET_MILLIS = 3_000;

    private TrialSchedule() {}

    static boolean due(CrashHistory history, int trials, boolean ambiguous, boolean newCaller, long nowMillis) {
        if (trials > 0 && nowMillis - history.trial().atMillis() < RUNNING_MILLIS) {
            return false;
        }
        boolean quiet = nowMillis - history.lastCrashMillis() >= QUIET_MILLIS;
        if (trials == 0 && (newCaller || ambiguous && quiet)) {
            return true;
        }
        long lastMillis = Math.max(history.lastCrashMillis(), history.trial().atMillis());
        return nowMillis - lastMillis >= FIRST_MILLIS * (long) Math.pow(GROWTH, Math.min(trials, MAX_GROWTHS));
    }
}
