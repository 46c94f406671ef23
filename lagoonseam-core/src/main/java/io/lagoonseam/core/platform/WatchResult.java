package io.lagoonseam.core.platform;

import java.util.List;

/** The result of a watch. */
public sealed interface WatchResult permits WatchResult.Changed, WatchResult.Unavailable {

    /**
     * The changes since the revision asked for.
     *
     * @param revision the platform's revision, from which the next watch goes on
     * @param changes the changes, none if the wait ran out
     */
    record Changed(long revision, List<ObjectVersion> changes) implements WatchResult {

        /** Copies the list. */
        public Changed {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The platform did not answer the question.
     *
     * @param reason why, in words
     */
    record Unavailable(String reason) implements WatchResult {}
}
