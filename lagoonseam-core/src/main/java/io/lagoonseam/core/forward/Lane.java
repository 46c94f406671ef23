package io.lagoonseam.core.forward;

/**
 * Which of a model's workers a request goes to. Long prompts delay the tokens of all requests that run beside them, so
 * latency-tolerant work is kept away from some workers.
 */
public enum Lane {
    /** Work whose objective a long prompt beside it would break. */
    SENSITIVE,
    /** Work with time to spare, which brings the long prompts. */
    TOLERANT
}
