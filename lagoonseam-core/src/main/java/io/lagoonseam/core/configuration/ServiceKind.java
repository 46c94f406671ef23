package io.lagoonseam.core.configuration;

/** What kind of upstream a service has. */
public enum ServiceKind {
    /** Model engines, which stream tokens. */
    MODEL,
    /** Plain services, which give one answer. */
    PLAIN
}
