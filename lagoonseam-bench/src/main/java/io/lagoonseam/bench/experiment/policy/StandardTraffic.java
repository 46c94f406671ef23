package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.bench.traffic.ClassProfile;
import io.lagoonseam.bench.traffic.RateBurst;
import io.lagoonseam.bench.traffic.TrafficProfile;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The traffic of the five classes of {@link FleetShape}, as shares of the fleet's capacity. */
public final class StandardTraffic {

    private static final String MODEL = "care-1";
    private static final int PROMPT_CHARS = 200;

    /** The share of each class in the whole, so that five times the second adds six tenths. */
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
     * @param shape the fleet
     * @param load the whole load as a part of the nominal capacity
     * @param durationMillis how long requests arrive
     * @return the traffic
     */
    public static TrafficProfile constant(FleetShape shape, double load, long durationMillis) {
        return withBurst(shape, load, "", RateBurst.NONE, durationMillis);
    }

    /**
     * Returns traffic in which one class bursts.
     *
     * @param shape the fleet
     * @param load the whole load before the burst as a part of the nominal capacity
     * @param burstingClass the class that bursts
     * @param burst the burst
     * @param durationMillis how long requests arrive
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
