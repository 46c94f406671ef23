package io.lagoonseam.core.forward;

/**
 * What callers may send and how long they may take.
 *
 * @param headerBytes the largest head
 * @param bodyBytes the largest body
 * @param headerTimeoutMillis the longest time until a request is read
 * @param idleTimeoutMillis the longest time that a connection stays open without a request
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** In force before any configuration is: the usual limits of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4L << 20, 3_000, 15_000);
}
