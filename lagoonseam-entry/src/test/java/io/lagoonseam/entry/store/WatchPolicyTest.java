package io.lagoonseam.entry.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the long-poll timeout, and with it the rate of calls to the store, for deployments of different sizes. */
public class WatchPolicyTest {

    @Test
    public void smallDeploymentUsesShortestWatch() {
        assertEquals(WatchPolicy.longPollTimeoutMillis(1), CollectionFollower.SHORT_WATCH_MILLIS);
        assertEquals(WatchPolicy.longPollTimeoutMillis(8), CollectionFollower.SHORT_WATCH_MILLIS);
    }

    @Test
    public void callRateDoesNotGrowUpToFiftyNodes() {
        for (int nodes = 8; nodes <= 50; nodes++) {
            double callsPerSecond = 1_000.0 * nodes / WatchPolicy.longPollTimeoutMillis(nodes);
            assertTrue(callsPerSecond <= 2.01, nodes + " nodes: " + callsPerSecond);
        }
        assertEquals(WatchPolicy.longPollTimeoutMillis(980), CollectionFollower.LONG_WATCH_MILLIS);
    }
}
