package io.lagoonseam.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Divides engines among models by demand, within their bounds. */
final class WorkerShares {

    private WorkerShares() {}

    /**
     * Divides engines.
     *
     * @param engines how many there are
     * @param targets the models; urgent ones come first when engines are short
     * @param demand tokens a second by model
     * @return engines by model
     */
    static Map<String, Integer> divide(int engines, List<ModelTarget> targets, Map<String, Double> demand) {
        List<ModelTarget> ordered = new ArrayList<>(targets);
        ordered.sort((first, second) -> Boolean.compare(second.urgent(), first.urgent()));
        Map<String, Integer> shares = new LinkedHashMap<>();
        int left = engines;
        for (ModelTarget target : ordered) {
            int least = Math.min(left, target.leastWorkers());
            shares.put(target.name(), least);
            left -= least;
        }
        while (left > 0) {
            ModelTarget neediest = neediest(ordered, shares, demand);
            if (neediest == null) {
                break;
            }
            shares.merge(neediest.name(), 1, Integer::sum);
            left--;
        }
        return shares;
    }

    private static ModelTarget neediest(
            List<ModelTarget> targets, Map<String, Integer> shares, Map<String, Double> demand) {
        ModelTarget best = null;
        double bestNeed = 0;
        for (ModelTarget target : targets) {
            int share = shares.get(target.name());
            if (share >= target.mostWorkers()) {
                continue;
            }
            double need = demand.getOrDefault(target.name(), 0.0) / Math.max(1, share);
            if (need > bestNeed) {
                best = target;
                bestNeed = need;
            }
        }
        return best;
    }
}
