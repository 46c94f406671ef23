package io.lagoonseam.bench.fleet;

import io.lagoonseam.standin.plain.PlainServiceStandIn;
import io.vertx.core.json.JsonObject;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** How often each keyed action ran, over all plain services together. */
public final class ActionLedger {

    private final Map<String, Integer> timesByKey = new HashMap<>();

    /**
     * Reads what the plain services of a fleet have counted.
     *
     * @param fleet the fleet
     */
    public ActionLedger(LocalFleet fleet) {
        StandInClient standIns = new StandInClient(fleet.vertx());
        for (PlainServiceStandIn service : fleet.plainServices().values()) {
            JsonObject counts = standIns.get(service.url() + "/actions");
            for (String key : counts.fieldNames()) {
                timesByKey.merge(key, counts.getInteger(key), Integer::sum);
            }
        }
    }

    /**
     * Returns the keys whose action ran more than once.
     *
     * @return keys
     */
    public long runTwice() {
        return timesByKey.values().stream().filter(times -> times > 1).count();
    }

    /**
     * Returns how many of some keys have run at all.
     *
     * @param keys the keys
     * @return those that ran
     */
    public long ranAmong(Collection<String> keys) {
        return keys.stream().filter(timesByKey::containsKey).count();
    }

    /**
     * Returns the actions that ran.
     *
     * @return keys
     */
    public long actions() {
        return timesByKey.size();
    }
}
