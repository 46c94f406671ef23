package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.bench.traffic.ClassProfile;
import io.lagoonseam.bench.traffic.RateBurst;
import io.lagoonseam.bench.traffic.TrafficProfile;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Creates the traffic of the five request classes of {@link FleetShape} in proportion to the fleet's capacity. */
public final class StandardTraffic {

    private static final String MODEL = "care-1";
    private static final int PROMPT_CHARS = 200;

    /**
     * The share of each class in the total rate, by class name. At a load of 0.9, five times the rate of the second
     * class adds six tenths of the capacity.
     */
    private static final Map<String, Double> SHARES = shares();

    private StandardTraffic() {}

    private static Map<String, Double> shares() {
        Map<String, Double> shares = new LinkedHashMap<>();
        shares.put("aftercare", 0.36);
        shares.put("stylist-questions", 1.0 / 6);
        shares.put("care-guide-drafts", 0.2);
        shares.put("touch-ups", 0.14);
        shares.put("newsletters", 0.8 / 6);
        return shares;
    }

    /**
     * Returns traffic at a constant rate.
     *
     * @param shape the size of the fleet
     * @param load the total load as a share of the nominal capacity
     * @param durationMillis the time in which requests arrive, in milliseconds
     * @return the traffic
     */
    public static TrafficProfile constant(FleetShape shape, double load, long durationMillis) {
        return withBurst(shape, load, "", RateBurst.NONE, durationMillis);
    }

    /**
     * Returns traffic in which one class bursts.
     *
     * @param shape the size of the fleet
     * @param load the total load before the burst as a share of the nominal capacity
     * @param burstingClass the name of the class that bursts
     * @param burst the time and rate factor of the burst
     * @param durationMillis the time in which requests arrive, in milliseconds
     * @return the traffic
     */
    public static TrafficProfile withBurst(
            FleetShape shape, double load, String burstingClass, RateBurst burst, long durationMillis) {
        List<ClassProfile> classes = SHARES.entrySet().stream()
                .map(entry -> classProfile(
                        entry.getKey(),
                        entry.getValue() * load * shape.requestsPerSecond(),
                        entry.getKey().equals(burstingClass) ? burst : RateBurst.NONE))
                .toList();
        return new TrafficProfile(durationMillis, classes);
    }

    private static ClassProfile classProfile(String name, double requestsPerSecond, RateBurst burst) {
        return new ClassProfile(
                name, requestsPerSecond, FleetShape.keys(), MODEL, "", PROMPT_CHARS, Integer.MAX_VALUE, false, burst);
    }
}
