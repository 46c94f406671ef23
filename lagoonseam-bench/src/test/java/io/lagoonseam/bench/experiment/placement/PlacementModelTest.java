package io.lagoonseam.bench.experiment.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Plays a burst of long prompts against cold workers, a third of which are lost meanwhile, and checks what callers get.
 * Nodes that decide alone read prefixes several times and preempt urgent requests until the fleet collapses.
 */
public class PlacementModelTest {

    private static final PlacementScenario SMALL = new PlacementScenario("cold burst", 17, 13, 2.3, 0.34, 0);
    private static final PlacementScenario LARGE = new PlacementScenario("cold burst", 95, 47, 2.3, 0.34, 0);
    private static final PlacementScenario HOME_DIES = new PlacementScenario("home dies", 95, 47, 2.3, 0.34, 4_000);

    private static PlacementModel.Result run(PlacementScenario scenario, PlacementModel.Way way, long seed) {
        return new PlacementModel(scenario, way, seed).run();
    }

    private static double inTime(PlacementModel.Result result, String name) {
        return result.classes().get(name).inTimeShare();
    }

    @Test
    public void aHomeServesMoreCallersOfEachClassInTimeThanNodesAlone() {
        for (long seed = 1; seed <= 3; seed++) {
            PlacementModel.Result alone = run(SMALL, PlacementModel.Way.EXCHANGE, seed);
            PlacementModel.Result home = run(SMALL, PlacementModel.Way.HOME, seed);
            for (RequestKind kind : RequestKind.MIX) {
                assertTrue(
                        inTime(home, kind.name()) > inTime(alone, kind.name()),
                        kind.name() + " with seed " + seed + ": " + inTime(home, kind.name()) + " with a home, "
                                + inTime(alone, kind.name()) + " alone");
            }
            assertTrue(home.readTokens() - home.neededTokens() < alone.readTokens() - alone.neededTokens());
        }
    }

    /** Urgent requests are neither preempted nor crowded out by the burst, and messages' delays cost little. */
    @Test
    public void urgentCallersAreServedThroughTheBurst() {
        PlacementModel.Result home = run(LARGE, PlacementModel.Way.HOME, 1);
        PlacementModel.Result bound = run(LARGE, PlacementModel.Way.HOME_WITHOUT_DELAY, 1);
        assertEquals(home.preemptions(), 0);
        assertTrue(inTime(home, "tip") >= 0.95, "tips " + inTime(home, "tip"));
        assertTrue(inTime(home, "reply") >= 0.95, "replies " + inTime(home, "reply"));
        for (RequestKind kind : RequestKind.MIX) {
            assertTrue(inTime(home, kind.name()) >= inTime(bound, kind.name()) - 0.03, kind.name());
        }
    }

    @Test
    public void aHomeThatDiesInTheBurstCostsUrgentCallersLittle() {
        PlacementModel.Result result = run(HOME_DIES, PlacementModel.Way.HOME, 1);
        assertTrue(inTime(result, "tip") >= 0.95, "tips " + inTime(result, "tip"));
        assertTrue(inTime(result, "reply") >= 0.95, "replies " + inTime(result, "reply"));
    }
}
