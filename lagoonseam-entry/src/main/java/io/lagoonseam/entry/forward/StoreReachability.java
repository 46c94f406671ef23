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
     * @param about what the call was about
     */
    void answered(String about) {
        if (!reachable) {
            reachable = true;
            events.record(EventCode.PLATFORM_REACHABLE, about);
        }
    }

    /**
     * Records a failed call.
     *
     * @param about what the call was about
     * @param reason why it failed
     */
    void failed(String about, String reason) {
        if (reachable) {
            reachable = false;
            events.record(EventCode.PLATFORM_UNREACHABLE, about + ": " + reason);
        }
    }
}
