package io.lagoonseam.entry.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.resume.StreamOrigins;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers that take up streams at other nodes find out, in virtual time and without a store. */
public class StreamOriginSimulationTest {

    private static final int SEEDS = 6;
    private static final long LOAD_MILLIS = 18_000;
    private static final long RUN_MILLIS = 21_000;
    private static final int STREAMS_PER_SECOND = 30;

    @DataProvider
    public Object[][] nodeCounts() {
        return new Object[][] {{1}, {8}, {95}};
    }

    private static StreamOriginSimulation simulation(int nodeCount, long seed) {
        StreamOriginSimulation simulation = new StreamOriginSimulation(nodeCount, seed);
        simulation.load(STREAMS_PER_SECOND, LOAD_MILLIS);
        return simulation;
    }

    private static void assertKnown(StreamOriginSimulation.Result result, double share, String what) {
        assertEquals(result.wrong(), 0, what);
        assertTrue(result.known() >= share * (result.known() + result.unknown()), what + ": " + result);
    }

    @Test(dataProvider = "nodeCounts")
    public void brokenConnectionsDoNotHideTheVersion(int nodeCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            StreamOriginSimulation simulation = simulation(nodeCount, seed);
            StreamOriginSimulation.Result result = simulation.run(RUN_MILLIS);
            assertKnown(result, 1, nodeCount + " nodes, seed " + seed);
            int streams = (int) (STREAMS_PER_SECOND * LOAD_MILLIS / 1_000);
            int attempts = streams + result.known();
            long most = (long) attempts * StreamOriginExchange.COPIES
                    + (long) result.known() * StreamOriginExchange.ASKED_NODES;
            assertTrue(result.messages() <= most, result.messages() + " messages for " + attempts + " attempts");
            assertTrue(simulation.mostRemembered() <= Math.min(streams, StreamOrigins.MAX_STREAMS));
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void nodesThatAreReplacedOneByOneDoNotHideTheVersion(int nodeCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (boolean planned : new boolean[] {true, false}) {
                StreamOriginSimulation simulation = simulation(nodeCount, seed);
                simulation.replaceEach(nodeCount > 50 ? 150 : 1_500, planned);
                // the only node forgets with its end, and nobody guesses
                assertKnown(simulation.run(RUN_MILLIS), nodeCount == 1 ? 0 : 0.97, nodeCount + " nodes, seed " + seed);
            }
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void nodesThatDieTogetherHideFewVersions(int nodeCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            StreamOriginSimulation simulation = simulation(nodeCount, seed);
            simulation.killTogether(0.4, 5_000);
            simulation.killTogether(0.6, 12_000);
            assertKnown(simulation.run(RUN_MILLIS), nodeCount == 1 ? 0 : 0.75, nodeCount + " nodes, seed " + seed);
        }
    }

    /** What a node begins while it is cut off is told to the others afterwards. */
    @Test(dataProvider = "nodeCounts")
    public void nodesThatWereCutOffAndThenDieHideFewVersions(int nodeCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            StreamOriginSimulation simulation = simulation(nodeCount, seed);
            simulation.cutOffAndEnd(0.3, 4_000, 4_000);
            assertKnown(simulation.run(RUN_MILLIS), nodeCount == 1 ? 0 : 0.75, nodeCount + " nodes, seed " + seed);
        }
    }
}
