package io.lagoonseam.entry.store;

import java.util.List;

/** The result of a call to the store. */
public sealed interface StoreResult
        permits StoreResult.Objects, StoreResult.HistoryGone, StoreResult.Conflict, StoreResult.Unavailable {

    /**
     * The call took effect.
     *
     * @param revision the store's revision, from which a watch may go on
     * @param objects the objects listed, changed or written
     */
    record Objects(long revision, List<StoredObject> objects) implements StoreResult {

        /** Copies the list. */
        public Objects {
            objects = List.copyOf(objects);
        }
    }

    /** The store does not keep the changes since that revision any more. */
    record HistoryGone() implements StoreResult {}

    /** The object is there already, is absent, or has another revision. */
    record Conflict() implements StoreResult {}

    /**
     * The store did not answer, or not as it should; a write may have taken effect.
     *
     * @param reason why, in words
     */
    record Unavailable(String reason) implements StoreResult {}
}
