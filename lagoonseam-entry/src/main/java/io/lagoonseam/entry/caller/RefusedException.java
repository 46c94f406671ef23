package io.lagoonseam.entry.caller;

import io.lagoonseam.core.verdict.Refusal;

/** Thrown when a request is refused before any part of it has been run. */
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
