package io.lagoonseam.core.limits;

import java.util.ArrayList;
import java.util.List;

/** Max-min fair division of an amount: small demands are met, larger ones get equal shares of the rest. */
final class MaxMinFairness {

    private MaxMinFairness() {}

    /**
     * Returns the max-min fair share of one demand, plus, if all demands are met, an equal share of the remainder.
     *
     * @param demand the demand, one of {@code demands}
     * @param demands all demands
     * @param total the amount to divide
     * @param nodes the number of nodes among which the remainder is divided, including those without a demand, so that
     *     a node has capacity when its first request arrives
     * @return the share, in the unit of {@code total}
     */
    static double shareOf(double demand, List<Double> demands, double total, int nodes) {
        List<Double> ascending = new ArrayList<>(demands);
        ascending.sort(null);
        double remaining = total;
        for (int index = 0; index < ascending.size(); index++) {
            double equalShare = remaining / (ascending.size() - index);
            if (ascending.get(index) > equalShare) {
                return Math.min(demand, equalShare);
            }
            remaining -= ascending.get(index);
        }
        return demand + remaining / Math.max(nodes, demands.size());
    }
}
