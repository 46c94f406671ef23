package io.lagoonseam.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class DefaultMemberDirectoryTest {

    private static FakeMembershipNetwork started(long seed, int count) {
        FakeMembershipNetwork network = new FakeMembershipNetwork(seed);
        for (int number = 0; number < count; number++) {
            network.start(name(number));
        }
        network.run(10_000);
        return network;
    }

    private static String name(int number) {
        return "n" + (100 + number);
    }

    private static void assertSameMembers(FakeMembershipNetwork network, String when) {
        List<String> upIds = network.upNodes().stream()
                .map(node -> node.directory().self().nodeId())
                .toList();
        for (FakeMembershipNetwork.Node node : network.upNodes()) {
            assertEquals(
                    node.liveIds(),
                    upIds,
                    when + " at " + node.directory().self().nodeId() + "\n" + String.join("\n", node.log()));
        }
    }

    public static final class SingleFaults {

        @Test
        public void everyNodeDiscoversEveryOther() {
            assertSameMembers(started(1, 30), "after the start");
        }

        @Test
        public void crashedMemberIsDetectedByAllWithinFiveSeconds() {
            FakeMembershipNetwork network = started(2, 30);
            network.crash(network.nodes().get(name(7)));
            network.run(5_000);
            assertSameMembers(network, "5 s after a crash");
        }

        @Test
        public void leavingMemberIsKnownToAllWithinTwoSecondsAndNeverSuspected() {
            FakeMembershipNetwork network = started(3, 30);
            network.leave(network.nodes().get(name(7)));
            network.run(2_000);
            assertSameMembers(network, "2 s after an announced leave");
            for (FakeMembershipNetwork.Node node : network.upNodes()) {
                assertTrue(node.log().stream().noneMatch(line -> line.contains("SUSPECTED")), "" + node.log());
            }
        }

        @Test
        public void pausedNodeKeepsItsPeersAndRejoins() {
            FakeMembershipNetwork network = started(4, 30);
            FakeMembershipNetwork.Node paused = network.nodes().get(name(7));
            paused.pause(20_000);
            network.run(20_100);
            assertEquals(paused.liveIds().size(), 30, "live members at the paused node right after the pause");
            network.run(10_000);
            assertSameMembers(network, "10 s after the pause");
        }

        @Test
        public void restartedNodeIsKnownByItsNewPort() {
            FakeMembershipNetwork network = started(5, 10);
            network.crash(network.nodes().get(name(3)));
            FakeMembershipNetwork.Node restarted = network.start(name(3));
            network.run(10_000);
            int port = restarted.directory().self().port();
            for (FakeMembershipNetwork.Node node : network.upNodes()) {
                assertEquals(node.directory().find(name(3)).orElseThrow().port(), port);
            }
            assertSameMembers(network, "10 s after a restart");
        }

        @Test
        public void partitionedHalvesMergeAgain() {
            FakeMembershipNetwork network = started(6, 20);
            network.nodes().values().stream().limit(10).forEach(node -> node.partition(1));
            network.run(60_000);
            assertEquals(network.nodes().get(name(0)).liveIds().size(), 10);
            network.nodes().values().forEach(node -> node.partition(0));
            network.run(60_000);
            assertSameMembers(network, "60 s after the partition ended");
        }
    }

    public static final class Cost {

        @Test
        public void messagesPerNodeDoNotGrowWithMemberCount() {
            double messagesOfFew = messagesPerNode(10);
            double messagesOfMany = messagesPerNode(80);
            assertTrue(
                    messagesOfMany <= messagesOfFew * 1.1,
                    messagesOfFew + " messages per node with 10 members, " + messagesOfMany + " with 80");
        }

        private static double messagesPerNode(int count) {
            FakeMembershipNetwork network = started(7, count);
            long before = network.delivered();
            network.run(60_000);
            return (network.delivered() - before) / (double) count;
        }
    }

    public static final class RandomRuns {

        private static final int NODES = 14;
        private static final int STEPS = 60;

        @DataProvider
        public static Object[][] seeds() {
            Object[][] seeds = new Object[25][];
            for (int index = 0; index < seeds.length; index++) {
                seeds[index] = new Object[] {1_000L + index};
            }
            return seeds;
        }

        @Test(dataProvider = "seeds")
        public void viewsConvergeWhenFaultsEnd(long seed) {
            FakeMembershipNetwork network = started(seed, NODES);
            Random random = new Random(seed);
            for (int step = 0; step < STEPS; step++) {
                injectFault(network, random);
                network.run(random.nextLong(3_000));
                assertSelfIsLiveUnlessLeaving(network, seed);
            }
            network.lossShare(0);
            network.delayLimitMillis(20);
            network.nodes().values().forEach(node -> node.partition(0));
            network.run(120_000);
            assertSameMembers(network, "seed " + seed);
        }

        private static void assertSelfIsLiveUnlessLeaving(FakeMembershipNetwork network, long seed) {
            for (FakeMembershipNetwork.Node node : network.upNodes()) {
                Member self = node.directory().self();
                boolean expected = self.state() == MemberState.ALIVE;
                assertEquals(node.liveIds().contains(self.nodeId()), expected, "seed " + seed);
            }
        }

        private static void injectFault(FakeMembershipNetwork network, Random random) {
            FakeMembershipNetwork.Node node = network.nodes().get(name(random.nextInt(NODES)));
            switch (random.nextInt(8)) {
                case 0 -> network.crash(node);
                case 1 -> network.leave(node);
                case 2 -> node.pause(random.nextLong(10_000));
                case 3 -> node.partition(random.nextInt(2));
                case 4 -> network.lossShare(random.nextDouble() * 0.4);
                case 5 -> network.delayLimitMillis(1 + random.nextLong(400));
                default -> restartIfDown(network, node);
            }
        }

        private static void restartIfDown(FakeMembershipNetwork network, FakeMembershipNetwork.Node node) {
            if (!node.up()) {
                network.start(node.directory().self().nodeId());
            }
        }
    }
}
