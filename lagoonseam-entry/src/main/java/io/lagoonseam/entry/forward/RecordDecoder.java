package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.entry.store.StoredObject;
import java.util.Optional;

/** Reads what the operators and the workers write into the store. */
public interface RecordDecoder {

    /**
     * Reads a configuration.
     *
     * @param object an object of the configuration's collection
     * @return the configuration, or empty if the object holds none that can be read
     */
    Optional<RoutingConfiguration> configuration(StoredObject object);

    /**
     * Reads what a worker says of itself.
     *
     * @param object an object of the workers' collection
     * @return the record, or empty if the object names no worker that can be used
     */
    Optional<UpstreamRecord> upstream(StoredObject object);
}
