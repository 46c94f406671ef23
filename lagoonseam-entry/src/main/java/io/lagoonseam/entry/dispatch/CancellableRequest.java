package io.lagoonseam.entry.dispatch;

/** Handle of a running request, to cancel it when its caller disconnects. */
@FunctionalInterface
public interface CancellableRequest {

    /**
     * Cancels the request: withdraws it from the queue, or cancels its running attempt and releases its worker. Has no
     * effect if the request has ended. Must be called on the caller's context.
     */
    void cancel();
}
