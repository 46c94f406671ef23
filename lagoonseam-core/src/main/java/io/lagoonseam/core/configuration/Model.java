package io.lagoonseam.core.configuration;

/**
 * A model that callers can request.
 *
 * @param name the name of the model
 * @param service the service whose engines run the model
 * @param version the version of the model
 * @param leastWorkers the minimum number of engines that hold the model, 0 for no minimum
 * @param mostWorkers the maximum number of engines that hold the model
 */
public record Model(String name, String service, String version, int leastWorkers, int mostWorkers) {

    /**
     * Returns whether a minimum number of engines is configured for the model.
     *
     * @return true if the minimum is above 0
     */
    public boolean isPlaced() {
        return leastWorkers > 0;
    }
}
