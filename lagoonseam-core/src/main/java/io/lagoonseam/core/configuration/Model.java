package io.lagoonseam.core.configuration;

/**
 * A model that callers can request.
 *
 * @param name the name of the model
 * @param service the service whose engines run the model
 * @param version the version of the model
 * @param leastWorkers the minimum number of engines that hold the model, 0 if the model is not placed
 * @param mostWorkers the maximum number of engines that hold the model
 */
public record Model(String name, String service, String version, int leastWorkers, int mostWorkers) {

    /**
     * Returns whether the model is placed, that is, whether engines are ordered to load it.
     *
     * @return false if the engines load the model without an order
     */
    public boolean isPlaced() {
        return leastWorkers > 0;
    }
}
