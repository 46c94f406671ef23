package io.lagoonseam.entry.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays the holder of the reports of usage through failures, in virtual time. */
public class UsageDutyTest {

    private static final int SEEDS = 8;

    /** The time after the end of a window within which it is due, in milliseconds. */
    private static final long DUE_MILLIS = 10_000;

    /** The share by which a count may be off. */
    private static final double OFF_SHARE = 0.05;

    @DataProvider
    public Object[][] nodeCounts() {
        return new Object[][] {{1}, {3}, {8}, {84}};
    }

    private static void assertReported(DutyFleet fleet, long firstWindow, long lastWindow, boolean counted) {
        assertEquals(fleet.platform().faults().toString(), "[]");
        for (long window = firstWindow; window <= lastWindow; window++) {
            Map<String, Long> counts = fleet.platform().counts(window);
            assertNotNull(counts, "window " + window + " was not reported");
            long dueMillis = (window + 1) * DutyFleet.WINDOW_MILLIS - DutyFleet.EPOCH_MILLIS + DUE_MILLIS;
            long atMillis = fleet.platform().acceptedAtMillis(window);
            assertTrue(atMillis <= dueMillis, "window " + window + " at " + atMillis + ", due " + dueMillis);
            if (counted) {
                assertWithinBound(fleet, window);
            }
        }
    }

    private static void assertWithinBound(DutyFleet fleet, long window) {
        Map<String, Long> truth = fleet.truth.getOrDefault(window, Map.of());
        Map<String, Long> counts = fleet.platform().counts(window);
        assertEquals(counts.keySet(), truth.keySet(), "workspaces of window " + window);
        truth.forEach((workspace, count) -> assertTrue(
                Math.abs(counts.get(workspace) - count) <= OFF_SHARE * count,
                "window " + window + ": " + counts + " in place of " + truth));
    }

    @Test(dataProvider = "nodeCounts")
    public void eachWindowIsReportedOnceWithAllRequests(int nodeCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            DutyFleet fleet = new DutyFleet(nodeCount, seed, true);
            fleet.platform().fail(0.1);
            fleet.network.run(45_000);
            assertReported(fleet, DutyFleet.window(6_000), DutyFleet.window(30_000), true);
        }
    }

    /** The holder wakes with a call that it was about to make: its lease has passed. */
    @Test
    public void aHolderThatWasFrozenBeyondItsLeaseSendsNothing() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DutyFleet fleet = new DutyFleet(8, seed, true);
            fleet.network.run(15_000 + 137L * seed);
            DutyFleet.Node holder = fleet.holder().orElseThrow();
            holder.freeze();
            fleet.network.run(27_000);
            assertTrue(fleet.holder().isPresent(), "another node has taken the duty");
            holder.thaw();
            fleet.network.run(60_000);
            assertReported(fleet, DutyFleet.window(6_000), DutyFleet.window(10_000), true);
            assertReported(fleet, DutyFleet.window(6_000), DutyFleet.window(45_000), false);
        }
    }

    private static void loseHolder(Consumer<DutyFleet.Node> lose, Consumer<DutyFleet.Node> back, boolean counted) {
        for (int seed = 0; seed < SEEDS; seed++) {
            DutyFleet fleet = new DutyFleet(8, seed, true);
            fleet.network.run(14_000 + 611L * seed);
            DutyFleet.Node holder = fleet.holder().orElseThrow();
            lose.accept(holder);
            fleet.network.run(33_000);
            back.accept(holder);
            fleet.network.run(60_000);
            assertReported(fleet, DutyFleet.window(6_000), DutyFleet.window(45_000), counted);
        }
    }

    @Test
    public void aHolderThatIsKilledIsFollowedInTime() {
        loseHolder(DutyFleet.Node::kill, DutyFleet.Node::restart, false);
    }

    @Test
    public void aHolderThatIsCutOffFromTheStoreIsFollowed() {
        loseHolder(holder -> holder.cutFromStore = true, holder -> holder.cutFromStore = false, true);
    }

    @Test
    public void aPlannedStopHandsOverAtOnce() {
        DutyFleet fleet = new DutyFleet(8, 1, true);
        fleet.network.run(15_200);
        DutyFleet.Node holder = fleet.holder().orElseThrow();
        holder.duty.stop();
        fleet.network.run(18_500);
        assertTrue(
                fleet.holder().filter(other -> !other.equals(holder)).isPresent(), "another node has taken the duty");
        holder.kill();
        fleet.network.run(50_000);
        assertReported(fleet, DutyFleet.window(6_000), DutyFleet.window(35_000), true);
    }

    @Test
    public void clocksThatAreSetMoveNoWindow() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DutyFleet fleet = new DutyFleet(8, seed, true);
            fleet.network.run(12_000);
            fleet.nodes.get(0).clockStepMillis = 7_000;
            fleet.nodes.get(1).clockStepMillis = -9_000;
            fleet.nodes.get(5).clockStepMillis = 4_000;
            fleet.network.run(32_000);
            fleet.nodes.get(0).clockStepMillis = 0;
            fleet.network.run(60_000);
            assertReported(fleet, DutyFleet.window(6_000), DutyFleet.window(45_000), true);
        }
    }

    @Test
    public void windowsThatEndWhileTheStoreIsAwayAreReportedOnceItIsBack() {
        DutyFleet fleet = new DutyFleet(8, 1, true);
        fleet.network.run(14_000);
        fleet.storeAway(true);
        fleet.network.run(26_000);
        fleet.storeAway(false);
        fleet.network.run(60_000);
        assertEquals(fleet.platform().faults().toString(), "[]");
        for (long window = DutyFleet.window(6_000); window <= DutyFleet.window(45_000); window++) {
            assertNotNull(fleet.platform().counts(window), "window " + window + " was not reported");
            assertWithinBound(fleet, window);
        }
    }

    @Test
    public void allNodesKilledAtOnceSendNoWindowTwice() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DutyFleet fleet = new DutyFleet(8, seed, true);
            // the moments around the end of a window, at which it is decided and sent
            fleet.network.run(15_000 + 200L * seed);
            fleet.nodes.forEach(DutyFleet.Node::kill);
            fleet.network.run(17_500 + 200L * seed);
            fleet.nodes.forEach(DutyFleet.Node::restart);
            fleet.network.run(70_000);
            assertReported(fleet, DutyFleet.window(35_000), DutyFleet.window(55_000), true);
        }
    }

    @Test
    public void aStoreRestoredFromACopyReturnsNoTokenAndNoDecision() {
        DutyFleet fleet = new DutyFleet(8, 1, true);
        fleet.network.run(12_000);
        fleet.copyStore();
        fleet.network.run(24_000);
        fleet.restoreStore();
        fleet.network.run(60_000);
        assertReported(fleet, DutyFleet.window(30_000), DutyFleet.window(45_000), false);
    }

    /** Nodes that had never read a sound record began with token 1 again, and at once. */
    @Test
    public void aRecordThatAnotherWriterHasSpoiledReturnsNoToken() {
        DutyFleet fleet = new DutyFleet(8, 1, true);
        fleet.network.run(12_000);
        fleet.holder().orElseThrow().kill();
        fleet.network.run(26_000);
        fleet.nodes.forEach(DutyFleet.Node::kill);
        fleet.spoilRecord();
        fleet.nodes.forEach(DutyFleet.Node::restart);
        fleet.network.run(75_000);
        assertReported(fleet, DutyFleet.window(45_000), DutyFleet.window(60_000), true);
    }

    /** Failures of all kinds, one after the other and at the same time. */
    @Test
    public void noTwoHoldersActThroughASeriesOfFailures() {
        for (int seed = 0; seed < 3 * SEEDS; seed++) {
            DutyFleet fleet = new DutyFleet(8, seed, true);
            Random random = new Random(seed);
            fleet.platform().fail(0.15);
            fleet.network.lose(0.03);
            for (long at = 8_000; at < 120_000; at += 1_500 + random.nextInt(3_000)) {
                fleet.network.run(at);
                DutyFleet.Node node = random.nextBoolean()
                        ? fleet.holder().orElse(fleet.nodes.get(0))
                        : fleet.nodes.get(random.nextInt(8));
                long until = at + 500 + random.nextInt(9_000);
                play(fleet, node, random.nextInt(4), until);
            }
            fleet.network.run(190_000);
            assertReported(fleet, DutyFleet.window(165_000), DutyFleet.window(175_000), true);
        }
    }

    private static void play(DutyFleet fleet, DutyFleet.Node node, int kind, long untilMillis) {
        long forMillis = untilMillis - fleet.nowMillis();
        if (kind == 0 && node.running && !node.frozen) {
            node.freeze();
            fleet.network.after(forMillis, node::thaw);
        } else if (kind == 1 && node.running && !node.frozen) {
            node.kill();
            fleet.network.after(forMillis, node::restart);
        } else if (kind == 2) {
            node.cutFromStore = true;
            fleet.network.after(forMillis, () -> node.cutFromStore = false);
        } else if (kind == 3) {
            node.clockStepMillis = 3_000 - forMillis;
            fleet.network.after(forMillis, () -> node.clockStepMillis = 0);
        }
    }
}
