package io.lagoonseam.core.platform;

import java.util.concurrent.CompletionStage;

/**
 * Versioned objects with conditional updates and watches. Every stage completes normally; failures are results. A value
 * holds at most {@link #VALUE_LIMIT_BYTES}.
 */
public interface ObjectStore {

    /** The largest value. */
    int VALUE_LIMIT_BYTES = 1_000_000;

    /**
     * Reads an object.
     *
     * @param name its name
     * @return its value and version, or why there is none
     */
    CompletionStage<ReadResult> read(String name);

    /**
     * Writes an object.
     *
     * @param name its name
     * @param value its new value
     * @param condition what must hold for the write to take effect
     * @return whether it took effect
     */
    CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition);

    /**
     * Removes an object.
     *
     * @param name its name
     * @param condition what must hold for the removal to take effect
     * @return whether it took effect
     */
    CompletionStage<WriteResult> delete(String name, WriteCondition condition);

    /**
     * Lists the objects whose names begin with a prefix.
     *
     * @param prefix the prefix
     * @return the names and versions
     */
    CompletionStage<ListResult> list(String prefix);

    /**
     * Waits for a change.
     *
     * @param prefix what the changed object's name begins with
     * @param afterRevision the revision after which changes count
     * @param timeoutMillis the longest wait
     * @return the changes, none if the wait ran out
     */
    CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis);
}
