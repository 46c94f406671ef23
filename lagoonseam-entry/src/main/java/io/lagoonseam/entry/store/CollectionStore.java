package io.lagoonseam.entry.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;

/** Collections of objects with revisions. Every future succeeds; failures are results. */
public interface CollectionStore {

    /** The collection that holds the configuration. */
    String CONFIGURATION = "configuration";

    /** The collection in which workers register themselves. */
    String UPSTREAMS = "upstreams";

    /** The collection in which the nodes register themselves. */
    String NODES = "nodes";

    /**
     * Lists a collection.
     *
     * @param collection its name
     * @return {@link StoreResult.Objects} or {@link StoreResult.Unavailable}
     */
    Future<StoreResult> list(String collection);

    /**
     * Waits for changes.
     *
     * @param collection its name
     * @param revision the revision after which changes count
     * @param waitMillis the longest wait
     * @return the changes, none if the wait ran out; {@link StoreResult.HistoryGone} or {@link StoreResult.Unavailable}
     */
    Future<StoreResult> watch(String collection, long revision, long waitMillis);

    /**
     * Creates an object, or replaces its content.
     *
     * @param collection its name
     * @param name the object's name
     * @param content its content
     * @return {@link StoreResult.Objects}, {@link StoreResult.Conflict} or {@link StoreResult.Unavailable}
     */
    Future<StoreResult> put(String collection, String name, JsonNode content);

    /**
     * Removes an object.
     *
     * @param collection its name
     * @param name the object's name
     * @return {@link StoreResult.Objects}, {@link StoreResult.Conflict} if it is absent, or
     *     {@link StoreResult.Unavailable}
     */
    Future<StoreResult> remove(String collection, String name);
}
