package io.lagoonseam.core.platform;

import java.util.List;

/** The result of a listing. */
public sealed interface ListResult permits ListResult.Listed, ListResult.Unavailable {

    /**
     * The objects found.
     *
     * @param revision the platform's revision, from which a watch may go on
     * @param objects the objects
     */
    record Listed(long revision, List<ObjectVersion> objects) implements ListResult {

        /** Copies the list. */
        public Listed {
            objects = List.copyOf(objects);
        }
    }

    /**
     * The platform did not answer the question.
     *
     * @param reason why, in words
     */
    record Unavailable(String reason) implements ListResult {}
}
