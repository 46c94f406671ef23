package io.lagoonseam.entry.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;

/**
 * Store of collections of objects with revisions. Every returned future succeeds; failures are reported as
 * {@link StoreResult}.
 */
public interface CollectionStore {

    /** The collection that holds the configuration. */
    String CONFIGURATION = "configuration";

    /** The collection in which workers register themselves. */
    String UPSTREAMS = "upstreams";

    /** The collection of the records that name who holds a duty. */
    String DUTIES = "duties";

    /** The collection in which the nodes register themselves. */
    String NODES = "nodes";

    /**
     * Lists a collection.
     *
     * @param collection the name of the collection
     * @param mayBeStale whether a listing that is some seconds old is enough, which costs the store less
     * @return {@link StoreResult.Objects} or {@link StoreResult.Unavailable}
     */
    Future<StoreResult> list(String collection, boolean mayBeStale);

    /**
     * Waits for changes of a collection (long poll).
     *
     * @param collection the name of the collection
     * @param revision the revision after which changes are returned
     * @param longPollTimeoutMillis the long-poll timeout, in milliseconds
     * @return {@link StoreResult.Objects} with the changes, without any if the long poll timed out;
     *     {@link StoreResult.HistoryGone} or {@link StoreResult.Unavailable}
     */
    Future<StoreResult> watch(String collection, long revision, long longPollTimeoutMillis);

    /** Has later calls use new connections, since the open ones may have gone silent; pending calls go on. */
    default void distrustConnections() {
        // a store without connections of its own
    }

    /**
     * Creates an object or replaces its content.
     *
     * @param collection the name of the collection
     * @param name the name of the object
     * @param content the content of the object
     * @return {@link StoreResult.Objects}, {@link StoreResult.Conflict} or {@link StoreResult.Unavailable}
     */
    Future<StoreResult> put(String collection, String name, JsonNode content);

    /**
     * Reads an object.
     *
     * @param collection the name of the collection
     * @param name the name of the object
     * @param mayBeStale whether content that is some seconds old is enough, which costs the store less
     * @return {@link StoreResult.Objects}, {@link StoreResult.Conflict} if it is absent, or
     *     {@link StoreResult.Unavailable}
     */
    Future<StoreResult> read(String collection, String name, boolean mayBeStale);

    /**
     * Replaces the content of an object if it still has a revision.
     *
     * @param collection the name of the collection
     * @param name the name of the object
     * @param content the content of the object
     * @param revision the revision that the object must have; negative if it must be absent
     * @return {@link StoreResult.Objects}, {@link StoreResult.Conflict}, or {@link StoreResult.Unavailable} after which
     *     the write may have taken effect, or may take effect later
     */
    Future<StoreResult> replace(String collection, String name, JsonNode content, long revision);

    /**
     * Removes an object.
     *
     * @param collection the name of the collection
     * @param name the name of the object
     * @return {@link StoreResult.Objects}, {@link StoreResult.Conflict} if it is absent, or
     *     {@link StoreResult.Unavailable}
     */
    Future<StoreResult> remove(String collection, String name);
}
