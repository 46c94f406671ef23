package io.lagoonseam.bench.fleet;

import io.lagoonseam.standin.plain.PlainServiceStandIn;
import io.vertx.core.json.JsonObject;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Counts how often each keyed action ran, summed over all plain services of a fleet. */
public final class ActionRunCounts {

    private final Map<String, Integer> runsByKey = new HashMap<>();

    /**
     * Reads the current counts from the plain services of a fleet. Blocks until every service has answered.
     *
     * @param fleet the fleet
     */
    public ActionRunCounts(LocalFleet fleet) {
        StandInClient standIns = new StandInClient(fleet.vertx());
        for (PlainServiceStandIn service : fleet.plainServices().values()) {
            JsonObject counts = standIns.get(service.url() + "/actions");
            for (String key : counts.fieldNames()) {
                runsByKey.merge(key, counts.getInteger(key), Integer::sum);
            }
        }
    }

    /**
     * Returns the number of keys whose action ran more than once.
     *
     * @return the number of keys
     */
    public long countRunTwice() {
        return runsByKey.values().stream().filter(runs -> runs > 1).count();
    }

    /**
     * Returns how many of the given keys have an action that ran at least once.
     *
     * @param keys the idempotency keys to look up
     * @return the number of keys whose action ran; a key that is given twice counts twice
     */
    public long countRan(Collection<String> keys) {
        return keys.stream().filter(runsByKey::containsKey).count();
    }

    /**
     * Returns the number of keys whose action ran at least once.
     *
     * @return the number of keys
     */
    public long actions() {
        return runsByKey.size();
    }
}
