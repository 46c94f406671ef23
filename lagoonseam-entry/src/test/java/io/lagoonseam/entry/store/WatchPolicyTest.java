package io.lagoonseam.entry.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** What the store is asked for by deployments of many sizes. */
public class WatchPolicyTest {

    @Test
    public void aSmallDeploymentNoticesASilentWatchSoon() {
        assertEquals(WatchPolicy.waitMillis(1), CollectionFollower.PROMPT_WATCH_MILLIS);
        assertEquals(WatchPolicy.waitMillis(8), CollectionFollower.PROMPT_WATCH_MILLIS);
    }

    @Test
    public void callsASecondDoNotGrowWithTheNodesUpToFifty() {
        for (int nodes = 8; nodes <= 50; nodes++) {
            double callsPerSecond = 1_000.0 * nodes / WatchPolicy.waitMillis(nodes);
            assertTrue(callsPerSecond <= 2.01, nodes + " nodes: " + callsPerSecond);
        }
        assertEquals(WatchPolicy.waitMillis(980), CollectionFollower.PATIENT_WATCH_MILLIS);
    }
}
