package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;

/** Logs when the store stops responding and when it responds again, once each. */
final class StoreReachability {

    private final EventSink events;
    private boolean reachable = true;

    StoreReachability(EventSink events) {
        this.events = events;
    }

    /**
     * Records a successful call.
     *
     * @param collection the collection that the call was for, as named in the log
     */
    void succeeded(String collection) {
        if (!reachable) {
            reachable = true;
            events.record(EventCode.PLATFORM_REACHABLE, collection);
        }
    }

    /**
     * Records a failed call.
     *
     * @param collection the collection that the call was for, as named in the log
     * @param reason why it failed
     */
    void failed(String collection, String reason) {
        if (reachable) {
            reachable = false;
            events.record(EventCode.PLATFORM_UNREACHABLE, collection + ": " + reason);
        }
    }
}
