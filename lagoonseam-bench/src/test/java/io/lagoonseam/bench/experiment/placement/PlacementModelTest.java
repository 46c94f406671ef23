package io.lagoonseam.bench.experiment.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Plays a burst of long prompts against cold workers, a third of which are lost meanwhile, and checks what callers get.
 * Nodes that decide alone read prefixes several times and preempt urgent requests until the fleet collapses.
 */
public class PlacementModelTest {

    private static final PlacementScenario SMALL = PlacementScenario.longPrompts("cold burst", 17, 13, 2.3, 0.34, 0);
    private static final PlacementScenario LARGE = PlacementScenario.longPrompts("cold burst", 95, 47, 2.3, 0.34, 0);
    private static final PlacementScenario HOME_DIES =
            PlacementScenario.longPrompts("home dies", 95, 47, 2.3, 0.34, 4_000);

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

    /** Engines with many slots before callers with short deadlines, under more work than they can do. */
    public static class Overload {

        private static final double[] BURSTS = {1, 1.5, 2, 3, 5};

        private static final long MAX_RECOVERY_MILLIS = 2_000;

        /** The more callers came, the fewer were served: engines worked for callers who had left. */
        @Test
        public void moreCallersThanCanBeServedDoNotLowerTheNumberThatIs() {
            int most = 0;
            for (double burst : BURSTS) {
                PlacementModel.Result result =
                        run(PlacementScenario.shortDeadlines("burst", burst, 0), PlacementModel.Way.HOME, 1);
                most = Math.max(most, result.servedInBurst());
                assertTrue(result.servedInBurst() >= 0.9 * most, result.servedInBurst() + " served at " + burst);
                assertTrue(
                        result.recoveryMillis() <= MAX_RECOVERY_MILLIS,
                        "served again after " + result.recoveryMillis() + " ms at " + burst);
            }
        }

        @Test
        public void urgentCallersAreServedThroughTheBurst() {
            for (double burst : BURSTS) {
                PlacementModel.Result result =
                        run(PlacementScenario.shortDeadlines("burst", burst, 0), PlacementModel.Way.HOME, 1);
                assertTrue(inTime(result, "tip") >= 0.95, "tips " + inTime(result, "tip") + " at " + burst);
                assertTrue(inTime(result, "reply") >= 0.95, "replies " + inTime(result, "reply") + " at " + burst);
            }
        }

        @Test
        public void theRulesServeMoreCallersAlsoAfterLostWorkers() {
            for (double lost : new double[] {0, 0.3}) {
                PlacementScenario scenario = PlacementScenario.shortDeadlines("burst", 2, lost);
                int with = run(scenario, PlacementModel.Way.HOME, 1).servedInBurst();
                int without =
                        run(scenario, PlacementModel.Way.HOME_WITHOUT_RULES, 1).servedInBurst();
                assertTrue(with > without, with + " served with the rules, " + without + " without");
            }
        }
    }
}
