package io.lagoonseam.core.placement;

import io.lagoonseam.core.configuration.Upstream;
import java.util.List;
import java.util.Map;

/** What is wanted of one service now. */
public interface PlacementScope {

    /**
     * Returns the engines of the service.
     *
     * @return the engines of the file set in force
     */
    List<Upstream> engines();

    /**
     * Returns the models of the service.
     *
     * @return the targets of the file set in force
     */
    List<ModelTarget> targets();

    /**
     * Returns the demand seen.
     *
     * @return tokens a second by model
     */
    Map<String, Double> demand();

    /**
     * Returns whether the engines refuse orders that carry an old fencing number.
     *
     * @return false if they ignore the number
     */
    boolean enginesCheckFencing();
}
