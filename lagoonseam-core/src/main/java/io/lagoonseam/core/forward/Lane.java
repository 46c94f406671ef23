package io.lagoonseam.core.forward;

/**
 * A group of a service's workers and the requests that are sent to it. Long prompts delay the tokens of all requests
 * that run on the same worker, so latency-tolerant requests are kept off some workers. Which requests are sensitive
 * depends on who chooses the worker, see {@link LatencyLanes}.
 */
public enum Lane {
    /** Requests that would miss an objective if a long prompt ran on the same worker. */
    SENSITIVE,
    /** All other requests; they usually have the longest prompts. */
    TOLERANT
}
