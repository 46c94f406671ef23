package io.lagoonseam.core.configuration;

/**
 * A model that callers may name.
 *
 * @param name its name
 * @param service the service whose engines hold it
 * @param version its version
 * @param leastWorkers the least number of engines that hold it, 0 if its engines are not placed
 * @param mostWorkers the most engines that hold it
 */
public record Model(String name, String service, String version, int leastWorkers, int mostWorkers) {

    /**
     * Returns whether engines are ordered to hold the model.
     *
     * @return false if the engines hold it by themselves
     */
    public boolean isPlaced() {
        return leastWorkers > 0;
    }
}
