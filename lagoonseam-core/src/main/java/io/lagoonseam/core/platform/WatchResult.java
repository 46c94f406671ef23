package io.lagoonseam.core.platform;

import java.util.List;

/** The result of watching objects. */
public sealed interface WatchResult permits WatchResult.Changed, WatchResult.Unavailable {

    /**
     * The changes since the requested revision.
     *
     * @param revision the revision of the store, from which the next watch continues
     * @param changes the changes, none if the wait timed out
     */
    record Changed(long revision, List<ObjectVersion> changes) implements WatchResult {

        /** Creates a result with a copy of the list. */
        public Changed {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The platform was unreachable or rejected the call.
     *
     * @param reason the cause, as text
     */
    record Unavailable(String reason) implements WatchResult {}
}
