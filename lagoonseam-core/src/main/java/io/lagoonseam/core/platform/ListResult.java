package io.lagoonseam.core.platform;

import java.util.List;

/** The result of listing objects. */
public sealed interface ListResult permits ListResult.Listed, ListResult.Unavailable {

    /**
     * The listing succeeded.
     *
     * @param revision the revision of the store at the time of the listing, from which a watch can continue
     * @param objects the names and versions of the objects
     */
    record Listed(long revision, List<ObjectVersion> objects) implements ListResult {

        /** Creates a result with a copy of the list. */
        public Listed {
            objects = List.copyOf(objects);
        }
    }

    /**
     * The platform was unreachable or rejected the call.
     *
     * @param reason the cause, as text
     */
    record Unavailable(String reason) implements ListResult {}
}
