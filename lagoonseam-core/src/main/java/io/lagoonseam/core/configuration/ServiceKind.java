package io.lagoonseam.core.configuration;

/** Kind of the upstreams of a service. */
public enum ServiceKind {
    /** Model engines, which stream generated tokens. */
    MODEL,
    /** Plain services, which return a single answer. */
    PLAIN
}
