package io.lagoonseam.entry.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.quarantine.Suspect;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how many requests that crash workers are sent, and what becomes of sound ones, in virtual time. */
public class CrashSimulationTest {

    private static final int SEEDS = 12;
    private static final int ALLOWED = 3;
    private static final int WORKERS = 12;
    private static final long RUN_MILLIS = 60_000;
    private static final Suspect PART = Suspect.promptPart("guilty");
    private static final Suspect REQUEST = Suspect.request(99);

    @DataProvider
    public Object[][] nodeCounts() {
        return new Object[][] {{1}, {8}, {95}};
    }

    /** A prompt with one of a few first parts and one of many second ones. */
    private static Set<Suspect> sound(Random random) {
        Set<Suspect> suspects = new HashSet<>();
        suspects.add(Suspect.promptPart("first" + random.nextInt(4)));
        suspects.add(Suspect.promptPart("second" + random.nextInt(80)));
        suspects.add(Suspect.request(100 + random.nextInt(1_000_000)));
        return suspects;
    }

    private static Set<Suspect> guilty(Random random) {
        Set<Suspect> suspects = sound(random);
        suspects.add(PART);
        return suspects;
    }

    private static CrashSimulation simulation(int nodeCount, long seed, double guiltyPerSecond) {
        CrashSimulation simulation = new CrashSimulation(nodeCount, WORKERS, PART, 5, seed);
        simulation.load(20, 2_500, RUN_MILLIS, CrashSimulationTest::sound);
        simulation.load(guiltyPerSecond, 4_000, RUN_MILLIS, CrashSimulationTest::guilty);
        return simulation;
    }

    private static void assertContained(CrashSimulation simulation, String what) {
        CrashSimulation.Result result = simulation.run(RUN_MILLIS);
        assertTrue(result.sentLate() <= ALLOWED, what + ": " + result);
        assertTrue(result.soundSentLate() >= 0.9 * result.soundLate(), what + ": " + result);
    }

    @DataProvider
    public Object[][] rates() {
        return new Object[][] {{1, 1.2}, {8, 1.2}, {95, 1.2}, {1, 6}, {8, 6}, {95, 6}, {8, 0.3}, {95, 0.3}};
    }

    @Test(dataProvider = "rates")
    public void requestsThatCrashWorkersAreSentNoLongerAndSoundOnesAre(int nodeCount, double perSecond) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertContained(
                    simulation(nodeCount, seed, perSecond), nodeCount + " nodes, " + perSecond + "/s, seed " + seed);
        }
    }

    /** Each request has the same parts, which sound ones hold too. */
    @Test(dataProvider = "rates")
    public void aRequestThatComesAgainIsSentNoLongerAndItsPartsAre(int nodeCount, double perSecond) {
        Set<Suspect> parts = Set.of(Suspect.promptPart("first1"), Suspect.promptPart("second7"));
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(nodeCount, WORKERS, REQUEST, 3, seed);
            simulation.load(20, 2_500, RUN_MILLIS, CrashSimulationTest::sound);
            simulation.load(perSecond, 4_000, RUN_MILLIS, random -> {
                Set<Suspect> suspects = new HashSet<>(parts);
                suspects.add(REQUEST);
                return suspects;
            });
            assertContained(simulation, nodeCount + " nodes, " + perSecond + "/s, seed " + seed);
            parts.forEach(part -> assertEquals(simulation.holding(part), 0, part + " is held"));
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void aPartThatAllRequestsWithTheGuiltyOneHoldIsSentWithoutIt(int nodeCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(nodeCount, WORKERS, PART, 5, seed);
            Suspect companion = Suspect.promptPart("companion");
            simulation.load(20, 2_500, RUN_MILLIS, CrashSimulationTest::sound);
            simulation.load(1.5, 4_000, RUN_MILLIS, random -> Set.of(companion, PART));
            simulation.load(2, 14_000, RUN_MILLIS, random -> Set.of(companion));
            assertContained(simulation, nodeCount + " nodes, seed " + seed);
            assertEquals(simulation.holding(companion), 0);
        }
    }

    /** Each request that crashes a worker names the parts of the other caller too. */
    @Test(dataProvider = "nodeCounts")
    public void aCallerThatNamesThePartsOfAnotherDoesNotKeepThatOneOut(int nodeCount) {
        Set<Suspect> victim = Set.of(Suspect.promptPart("victim1"), Suspect.promptPart("victim2"));
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(nodeCount, WORKERS, PART, 5, seed);
            simulation.load(20, 2_500, RUN_MILLIS, CrashSimulationTest::sound);
            simulation.load(1.5, 4_000, 12_000, 2, random -> {
                Set<Suspect> suspects = new HashSet<>(victim);
                suspects.add(PART);
                return suspects;
            });
            simulation.load(2, 14_000, RUN_MILLIS, random -> victim);
            assertContained(simulation, nodeCount + " nodes, seed " + seed);
            victim.forEach(part -> assertEquals(simulation.holding(part), 0, part + " is held"));
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void nodesThatAreReplacedOneByOneKeepTheQuarantine(int nodeCount) {
        if (nodeCount == 1) {
            return;
        }
        for (int seed = 0; seed < SEEDS; seed++) {
            for (boolean planned : new boolean[] {true, false}) {
                CrashSimulation simulation = simulation(nodeCount, seed, 1.2);
                simulation.replaceEach(5_000, nodeCount > 50 ? 300 : 3_500, planned);
                assertContained(simulation, nodeCount + " nodes, seed " + seed + ", planned " + planned);
            }
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void nodesThatDieTogetherDoNotEndTheQuarantine(int nodeCount) {
        if (nodeCount == 1) {
            return;
        }
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = simulation(nodeCount, seed, 1.2);
            simulation.killTogether(0.4, 6_500);
            simulation.killTogether(0.6, 20_000);
            assertContained(simulation, nodeCount + " nodes, seed " + seed);
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void nodesThatWereCutOffLearnWhatIsInQuarantine(int nodeCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = simulation(nodeCount, seed, 1.2);
            simulation.cutOff(0.4, 5_000, 6_000);
            simulation.cutOff(0.4, 25_000, 6_000);
            assertContained(simulation, nodeCount + " nodes, seed " + seed);
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void workersThatCrashTogetherPutNoSoundRequestInQuarantine(int nodeCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(nodeCount, WORKERS, PART, 5, seed);
            simulation.load(40, 2_500, RUN_MILLIS, CrashSimulationTest::sound);
            for (int round = 0; round < 5; round++) {
                simulation.crashWorkers(8, 10_000 + round * 8_000L);
            }
            CrashSimulation.Result result = simulation.run(RUN_MILLIS);
            assertEquals(result.soundSentLate(), result.soundLate(), nodeCount + " nodes, seed " + seed);
            assertEquals(simulation.mostHeld(), 0, "suspects in quarantine");
        }
    }

    /** Many nodes get whole answers to requests with the part before any of them hears that it has been released. */
    @Test
    public void aReleaseIsToldByTheCountingNodesAlone() {
        int nodeCount = 95;
        Suspect companion = Suspect.promptPart("companion");
        CrashSimulation simulation = new CrashSimulation(nodeCount, WORKERS, PART, 5, 1);
        simulation.load(1.5, 4_000, 10_000, random -> Set.of(companion, PART));
        simulation.load(100, 14_000, 24_000, random -> Set.of(companion));
        simulation.load(4_000, 27_000, 33_000, random -> Set.of(companion));
        simulation.crashWorkers(1, 30_000);
        simulation.run(29_900);
        assertEquals(simulation.holding(companion), 0);
        long before = simulation.told();
        simulation.run(32_000);
        // the crash, and the answers that speak against it, each told by three nodes to all others
        long most = 2L * QuarantineExchange.COUNTING_NODES * (nodeCount - 1);
        assertTrue(simulation.told() - before <= most, simulation.told() - before + " messages, " + most + " allowed");
    }
}
