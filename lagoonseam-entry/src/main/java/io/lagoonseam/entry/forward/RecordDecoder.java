package io.lagoonseam.entry.forward;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.entry.store.CollectionObject;
import java.io.IOException;
import java.util.Optional;

/** Decodes the objects that operators and workers write into the store. */
public interface RecordDecoder {

    /**
     * Reads the content of an object that another node has sent.
     *
     * @param collection the collection of the object
     * @param bytes the content as JSON
     * @return what the methods of this decoder use of it
     * @throws IOException if it is no JSON
     */
    JsonNode content(String collection, byte[] bytes) throws IOException;

    /**
     * Decodes a configuration.
     *
     * @param object an object of the configuration collection
     * @return the configuration, or empty if the object contains no valid one
     */
    Optional<RoutingConfiguration> configuration(CollectionObject object);

    /**
     * Decodes a worker's record.
     *
     * @param object an object of the workers' collection
     * @return the record, or empty if the object describes no usable worker
     */
    Optional<UpstreamRecord> upstream(CollectionObject object);
}
