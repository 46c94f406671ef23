package io.lagoonseam.core.ratelimit;

import io.lagoonseam.core.time.TimeReading;
import io.lagoonseam.core.time.TimeSource;

/**
 * The permission to send one request to a worker. It is to be checked when the request is sent: a process may have been
 * suspended since it was issued.
 */
public final class Permit {

    /** The permission to send to a worker without a limit, which does not expire. */
    public static final Permit UNLIMITED = new Permit(null, Long.MAX_VALUE);

    /** No permission. */
    public static final Permit NONE = new Permit(null, -1);

    private final TimeReading issued;
    private final long lifetimeMillis;

    private Permit(TimeReading issued, long lifetimeMillis) {
        this.issued = issued;
        this.lifetimeMillis = lifetimeMillis;
    }

    /**
     * Creates a permit that expires.
     *
     * @param issued a time that is not after the issue of the permit
     * @param lifetimeMillis how long it may be used after that time, in milliseconds
     * @return the permit
     */
    public static Permit expiring(TimeReading issued, long lifetimeMillis) {
        return new Permit(issued, lifetimeMillis);
    }

    /** Returns whether the permit was issued for the limit of a worker. */
    public boolean limited() {
        return issued != null;
    }

    /**
     * Returns whether a request may be sent now.
     *
     * @param time the clocks
     * @return false if the permit has expired
     */
    public boolean valid(TimeSource time) {
        return issued == null ? lifetimeMillis >= 0 : issued.maxAgeMillis(time) <= lifetimeMillis;
    }
}
