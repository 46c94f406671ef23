package io.lagoonseam.core.reach;

import java.util.Optional;

/**
 * Concludes from attempts and connectivity checks whether a node reaches any worker of one service. A failed attempt,
 * or silence of all workers, causes a check of one worker; if that fails, of several. The node is cut off while no
 * worker accepts a new connection, even if open connections still carry answers. Times are on the monotonic clock, in
 * milliseconds. Not thread-safe.
 */
public final class ServiceReach {

    /** How long all workers may be silent while attempts are in flight before the node checks, in milliseconds. */
    static final long MAX_SILENCE_MILLIS = 400;

    /** The time from one check because of silence to the next one, in milliseconds. */
    static final long SILENCE_CHECK_INTERVAL_MILLIS = 1_000;

    /** The time from one check to the next one after the node has been cut off, in milliseconds; it doubles. */
    static final long FIRST_RECHECK_MILLIS = 250;

    static final long MAX_RECHECK_MILLIS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private int inFlight;
    private long inFlightSinceMillis = NEVER;
    private long heardMillis = NEVER;
    private long connectedMillis = NEVER;
    private long checkedMillis = NEVER;
    private long recheckMillis = FIRST_RECHECK_MILLIS;
    private boolean doubted;
    private boolean oneFailed;
    private boolean checking;
    private boolean cutOff;

    /** Which workers a check connects to. */
    public enum Check {
        /** One worker, other than the one that caused the doubt if there is another. */
        ONE,
        /** Several workers, since the one did not accept a connection. */
        SEVERAL,
        /** Several workers, while the node is cut off. */
        AGAIN
    }

    /** Records that an attempt at a worker begins. */
    public void attemptBegan(long nowMillis) {
        if (inFlight == 0) {
            inFlightSinceMillis = nowMillis;
        }
        inFlight++;
    }

    /** Records that an attempt has ended, whatever its outcome. */
    public void attemptEnded() {
        inFlight--;
    }

    /** Records that a worker has sent something. */
    public void heard(long nowMillis) {
        heardMillis = nowMillis;
    }

    /** Records that a worker has accepted a new connection. */
    public void connected(long nowMillis) {
        connectedMillis = nowMillis;
        doubted = false;
        oneFailed = false;
        cutOff = false;
    }

    /**
     * Records that an attempt found no connection, broke off or got no answer.
     *
     * @param sinceMillis when it began
     */
    public void failed(long sinceMillis) {
        doubted |= !connectedSince(sinceMillis);
    }

    /**
     * Returns whether a worker has accepted a new connection since a point in time.
     *
     * @param sinceMillis the point in time
     * @return whether one has
     */
    public boolean connectedSince(long sinceMillis) {
        return connectedMillis >= sinceMillis;
    }

    /**
     * Returns whether a worker has sent something or accepted a connection within a span of time.
     *
     * @param spanMillis the span until now
     * @param nowMillis the current time
     * @return whether one has
     */
    public boolean sawWorkerWithin(long spanMillis, long nowMillis) {
        return nowMillis - Math.max(heardMillis, connectedMillis) <= spanMillis;
    }

    /** Returns whether the node reaches no worker of the service. */
    public boolean cutOff() {
        return cutOff;
    }

    /** Returns whether the next check will tell whether the node is cut off: one is due or running. */
    public boolean doubtful() {
        return !cutOff && (doubted || checking);
    }

    /**
     * Returns the check that is due; the caller runs it and reports its result.
     *
     * @param nowMillis the current time
     * @return the check, empty if none is due or one is running
     */
    public Optional<Check> beginCheck(long nowMillis) {
        if (checking) {
            return Optional.empty();
        }
        Optional<Check> due = due(nowMillis);
        checking = due.isPresent();
        return due;
    }

    private Optional<Check> due(long nowMillis) {
        if (cutOff) {
            return nowMillis - checkedMillis >= recheckMillis ? Optional.of(Check.AGAIN) : Optional.empty();
        }
        if (doubted) {
            return Optional.of(oneFailed ? Check.SEVERAL : Check.ONE);
        }
        return silent(nowMillis) ? Optional.of(Check.ONE) : Optional.empty();
    }

    private boolean silent(long nowMillis) {
        long sinceMillis = Math.max(inFlightSinceMillis, Math.max(heardMillis, connectedMillis));
        return inFlight > 0
                && nowMillis - sinceMillis >= MAX_SILENCE_MILLIS
                && nowMillis - checkedMillis >= SILENCE_CHECK_INTERVAL_MILLIS;
    }

    /**
     * Records the result of a check.
     *
     * @param check the check
     * @param reached whether a worker accepted a connection
     * @param nowMillis the current time
     */
    public void checked(Check check, boolean reached, long nowMillis) {
        checking = false;
        checkedMillis = nowMillis;
        if (reached) {
            connected(nowMillis);
            return;
        }
        switch (check) {
            case ONE -> {
                doubted = true;
                oneFailed = true;
            }
            case SEVERAL -> {
                // a connection that an attempt has opened meanwhile has cleared the doubt
                cutOff = doubted;
                doubted = false;
                oneFailed = false;
                recheckMillis = FIRST_RECHECK_MILLIS;
            }
            case AGAIN -> recheckMillis = Math.min(2 * recheckMillis, MAX_RECHECK_MILLIS);
        }
    }
}
