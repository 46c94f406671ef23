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

    private long ask(String node, long weight) {
        return home.grant(node, new CapacityDemand(weight, Map.of("w", 16L))).get("w");
    }

    @Test
    public void soleNodeGetsAll() {
        assertEquals(ask("a", 5), 20);
    }

    @Test
    public void sharesFollowDemand() {
        ask("a", 30);
        ask("b", 10);
        long first = ask("a", 30);
        assertTrue(first >= 14 && first <= 16, "share " + first);
        assertEquals(first + ask("b", 10), 20);
    }

    @Test
    public void shareOfSilentNodeReturns() {
        ask("a", 10);
        ask("b", 10);
        time.advanceMillis(CapacityHome.LEASE_MILLIS);
        assertEquals(ask("a", 10), 20);
    }

    /** Whatever the demands, a full round of asking never hands out more than the slots, and never less. */
    @Test
    public void oneRoundOfSharesAddsUp() {
        for (long seed = 1; seed <= 200; seed++) {
            newHome();
            Random random = new Random(seed);
            Map<String, Long> weights = new HashMap<>();
            for (int node = 0; node < 1 + random.nextInt(60); node++) {
                weights.put("node-" + node, 1L + random.nextInt(50));
            }
            weights.forEach(this::ask);
            long total = weights.entrySet().stream()
                    .mapToLong(entry -> ask(entry.getKey(), entry.getValue()))
                    .sum();
            assertEquals(total, 20, "seed " + seed);
        }
    }
}
