package io.lagoonseam.core.forward;

/**
 * A group of a service's workers and the requests that are sent to it. Long prompts delay the tokens of all requests
 * that run on the same worker, so latency-tolerant requests are kept off some workers.
 */
public enum Lane {
    /** Requests whose latency objective would be missed if a long prompt ran on the same worker. */
    SENSITIVE,
    /** Requests with a long latency objective; they usually have the longest prompts. */
    TOLERANT
}
