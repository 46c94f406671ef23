package io.lagoonseam.core.forward;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param headerBytes the maximum size of the header section, in bytes
 * @param bodyBytes the maximum size of the body, in bytes
 * @param headerTimeoutMillis the maximum time until a request has been read, in milliseconds
 * @param idleTimeoutMillis the maximum time that a connection stays open without a request, in milliseconds
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits before the first configuration is in force: typical defaults of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4L << 20, 3_000, 15_000);
}
