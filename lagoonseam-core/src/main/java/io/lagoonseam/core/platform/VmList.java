package io.lagoonseam.core.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's lagging list of VMs. */
@FunctionalInterface
public interface VmList {

    /**
     * Reads the list.
     *
     * @return the VMs; completes exceptionally if the platform does not answer
     */
    CompletionStage<List<VmEntry>> listVms();
}
