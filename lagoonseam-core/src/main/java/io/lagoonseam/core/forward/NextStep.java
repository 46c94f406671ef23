package io.lagoonseam.core.forward;

/** The next step after an attempt. */
public enum NextStep {
    /** Retry the request at another worker. */
    RETRY,
    /** Forward the worker's answer to the caller. */
    FORWARD_ANSWER,
    /** Refuse the request with verdict not_run and a retry delay. */
    REFUSE,
    /** Fail the request with verdict may_have_run. */
    FAIL
}
