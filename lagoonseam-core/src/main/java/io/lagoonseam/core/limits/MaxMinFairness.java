package io.lagoonseam.core.limits;

import java.util.ArrayList;
import java.util.List;

/** Divides an amount: small demands are met, large ones get equal parts of the rest. */
final class MaxMinFairness {

    private MaxMinFairness() {}

    /**
     * Returns the part of one demand among all, with an equal part of what no one asked for.
     *
     * @param own the demand
     * @param demands all demands
     * @param whole what there is
     * @param nodes among how many nodes is divided what no one asked for: those that do not ask yet find their part
     */
    static double partOf(double own, List<Double> demands, double whole, int nodes) {
        List<Double> ascending = new ArrayList<>(demands);
        ascending.sort(null);
        double left = whole;
        for (int index = 0; index < ascending.size(); index++) {
            double equalPart = left / (ascending.size() - index);
            if (ascending.get(index) > equalPart) {
                return Math.min(own, equalPart);
            }
            left -= ascending.get(index);
        }
        return own + left / Math.max(nodes, demands.size());
    }
}
