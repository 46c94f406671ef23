package io.lagoonseam.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.time.ManualTimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class CapacityHomeTest {

    private ManualTimeSource time;
    private CapacityHome home;

    @BeforeMethod
    public void newHome() {
        time = new ManualTimeSource();
        home = new CapacityHome(time);
    }

    private long grantedSlots(String node, long weight) {
        return home.grant(node, new CapacityDemand(weight, Map.of("w", 16L))).get("w");
    }

    @Test
    public void soleNodeGetsOvercommittedSlots() {
        assertEquals(grantedSlots("a", 5), 20);
    }

    @Test
    public void sharesAreProportionalToDemand() {
        grantedSlots("a", 30);
        grantedSlots("b", 10);
        long first = grantedSlots("a", 30);
        assertTrue(first >= 14 && first <= 16, "share " + first);
        assertEquals(first + grantedSlots("b", 10), 20);
    }

    @Test
    public void shareOfUnresponsiveNodeIsReclaimedAfterLease() {
        grantedSlots("a", 10);
        grantedSlots("b", 10);
        time.advanceMillis(CapacityHome.LEASE_MILLIS);
        assertEquals(grantedSlots("a", 10), 20);
    }

    /** Whatever the demands, the shares granted in one round add up to exactly the overcommitted slots. */
    @Test
    public void sharesOfOneRoundAddUpToSlots() {
        for (long seed = 1; seed <= 200; seed++) {
            newHome();
            Random random = new Random(seed);
            Map<String, Long> weights = new HashMap<>();
            for (int node = 0; node < 1 + random.nextInt(60); node++) {
                weights.put("node-" + node, 1L + random.nextInt(50));
            }
            weights.forEach(this::grantedSlots);
            long total = weights.entrySet().stream()
                    .mapToLong(entry -> grantedSlots(entry.getKey(), entry.getValue()))
                    .sum();
            assertEquals(total, 20, "seed " + seed);
        }
    }
}
