package io.lagoonseam.core.platform;

import java.util.concurrent.CompletionStage;

/**
 * Store of versioned objects with compare-and-set writes and watches. All returned stages complete normally; failures
 * are reported as results. A value has at most {@link #VALUE_LIMIT_BYTES} bytes.
 */
public interface ObjectStore {

    /** The maximum size of a value in bytes. */
    int VALUE_LIMIT_BYTES = 1_000_000;

    /**
     * Reads an object.
     *
     * @param name the name of the object
     * @return the value and the version, or the reason why there is none
     */
    CompletionStage<ReadResult> read(String name);

    /**
     * Writes an object.
     *
     * @param name the name of the object
     * @param value the new value
     * @param condition the condition under which the write takes effect
     * @return the result, which states whether it took effect
     */
    CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition);

    /**
     * Deletes an object.
     *
     * @param name the name of the object
     * @param condition the condition under which the deletion takes effect
     * @return the result, which states whether it took effect
     */
    CompletionStage<WriteResult> delete(String name, WriteCondition condition);

    /**
     * Lists the objects whose names begin with a prefix.
     *
     * @param prefix the prefix
     * @return the names and versions of the objects
     */
    CompletionStage<ListResult> list(String prefix);

    /**
     * Waits for changes of objects (long poll).
     *
     * @param prefix the prefix of the names of the watched objects
     * @param afterRevision the revision after which changes are returned
     * @param timeoutMillis the maximum time to wait, in milliseconds
     * @return the changes, none if the wait timed out
     */
    CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis);
}
