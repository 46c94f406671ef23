package io.lagoonseam.core.placement;

/**
 * How placement acts.
 *
 * @param mostMoves the most engines that drain or load at once
 * @param mostLoads the most loads from the weight store at once
 * @param longestOrderMillis the longest time that an order takes, after which its connection is closed
 * @param roundMillis the time between rounds of reading and planning
 */
public record PlacementOptions(int mostMoves, int mostLoads, long longestOrderMillis, long roundMillis) {

    private static final PlacementOptions STANDARD = new PlacementOptions(2, 2, 1_000, 1_000);

    /**
     * Returns the options that the daemon uses.
     *
     * @return the standard options
     */
    public static PlacementOptions standard() {
        return STANDARD;
    }
}
