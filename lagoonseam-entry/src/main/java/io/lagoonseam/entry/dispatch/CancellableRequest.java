package io.lagoonseam.entry.dispatch;

/** A request that can be given up when its caller has gone. */
@FunctionalInterface
public interface CancellableRequest {

    /** Gives the request up and cancels the upstream's work. */
    void cancel();
}
