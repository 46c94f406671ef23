package io.lagoonseam.core.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of VMs, which may lag behind the actual state. */
@FunctionalInterface
public interface VmList {

    /**
     * Reads the current list.
     *
     * @return the VMs; completes exceptionally if the platform does not respond
     */
    CompletionStage<List<VmEntry>> listVms();
}
