package io.lagoonseam.entry.caller;

import io.lagoonseam.core.verdict.Refusal;

/** Thrown where a request is found to be unacceptable before anything was done with it. */
final class RefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    RefusedException(Refusal refusal) {
        super(refusal.message());
        this.refusal = refusal;
    }

    Refusal refusal() {
        return refusal;
    }
}
