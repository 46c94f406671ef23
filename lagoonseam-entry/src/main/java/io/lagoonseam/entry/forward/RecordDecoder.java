package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.entry.store.CollectionObject;
import java.util.Optional;

/** Decodes the objects that operators and workers write into the store. */
public interface RecordDecoder {

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
