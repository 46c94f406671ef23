package io.lagoonseam.entry.detour;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.entry.peer.VirtualNetwork;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays nodes that are cut off from the workers and look for others that are not, in virtual time. */
public class DetourSimulationTest {

    private static final String SERVICE = "llm";
    private static final int SEEDS = 12;
    private static final long TICK_MILLIS = 250;

    /** The time after which a cut may no longer be felt, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** What control may cost a node, in bytes a second. */
    private static final long MAX_BYTES_PER_SECOND = 11_000;

    private static final long REQUEST_INTERVAL_MILLIS = 70;

    /** Nodes before the same workers. */
    private static final class Fleet {
        private final Random random;
        private final VirtualNetwork network;
        private final List<Node> nodes = new ArrayList<>();

        Fleet(int count, long seed) {
            random = new Random(seed);
            network = new VirtualNetwork(random);
            for (int index = 0; index < count; index++) {
                nodes.add(new Node("n" + index));
            }
        }

        private Node node(String id) {
            return nodes.get(Integer.parseInt(id.substring(1)));
        }

        /** A node, whose requests are short. */
        private final class Node {
            private final String id;
            private final DetourExchange exchange;
            private boolean cut;
            private int inFlight;
            private int mostInFlight;
            private int sent;
            private int served;
            private long firstServedMillis = Long.MAX_VALUE;
            private long cutMillis;

            Node(String id) {
                this.id = id;
                this.exchange = new DetourExchange(new DetourExchange.Environment(
                        network.time(),
                        network.add(id),
                        Runnable::run,
                        random,
                        id,
                        () -> nodes.stream()
                                .map(node -> node.id)
                                .filter(other -> !other.equals(id))
                                .toList(),
                        service -> CompletableFuture.completedFuture(!cut),
                        () -> inFlight));
                network.after(random.nextInt((int) TICK_MILLIS), this::tick);
                network.after(random.nextInt((int) REQUEST_INTERVAL_MILLIS), this::request);
            }

            private void tick() {
                exchange.tick();
                network.after(TICK_MILLIS, this::tick);
            }

            private void request() {
                network.after(REQUEST_INTERVAL_MILLIS, this::request);
                if (cut) {
                    long sentMillis = network.time().monotonicMillis();
                    boolean counts = sentMillis >= cutMillis + CONTACT_MILLIS;
                    sent += counts ? 1 : 0;
                    exchange.find(SERVICE, Set.of()).thenAccept(peer -> arrive(peer, counts));
                }
            }

            private void arrive(Optional<String> peer, boolean counts) {
                peer.ifPresent(id -> {
                    Node through = node(id);
                    if (through.cut) {
                        exchange.notTaken(SERVICE, id);
                        exchange.find(SERVICE, Set.of(id)).thenAccept(other -> arrive(other, counts));
                        return;
                    }
                    served += counts ? 1 : 0;
                    firstServedMillis =
                            Math.min(firstServedMillis, network.time().monotonicMillis());
                    through.inFlight++;
                    through.mostInFlight = Math.max(through.mostInFlight, through.inFlight);
                    network.after(100, () -> through.inFlight--);
                });
            }

            void cut(boolean value) {
                cut = value;
                cutMillis = network.time().monotonicMillis();
                sent = 0;
                served = 0;
            }
        }
    }

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{8, 1}, {8, 5}, {8, 7}, {95, 30}, {95, 94}};
    }

    @Test(dataProvider = "cuts")
    public void eachNodeThatIsCutOffFindsOneThatIsNot(int nodeCount, int cutCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(nodeCount, seed);
            fleet.network.lose(0.03);
            fleet.network.run(1_000);
            List<Fleet.Node> cut = fleet.nodes.subList(0, cutCount);
            cut.forEach(node -> node.cut(true));
            fleet.network.run(8_000);
            for (Fleet.Node node : cut) {
                assertTrue(node.served >= 0.98 * node.sent, node.id + " " + node.served + " of " + node.sent);
                long latestMillis = 1_000 + CONTACT_MILLIS;
                assertTrue(node.firstServedMillis <= latestMillis, "first at " + node.firstServedMillis);
            }
            Map<String, Long> before = new HashMap<>();
            fleet.nodes.forEach(node -> before.put(node.id, fleet.network.bytes(node.id)));
            fleet.network.run(10_000);
            fleet.nodes.forEach(node -> {
                long perSecond = (fleet.network.bytes(node.id) - before.get(node.id)) / 2;
                assertTrue(perSecond <= MAX_BYTES_PER_SECOND, node.id + " sends " + perSecond + " bytes a second");
            });
        }
    }

    @Test
    public void theLoadOfNodesThatAreCutOffSpreadsOverTheOthers() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(95, seed);
            fleet.nodes.subList(0, 60).forEach(node -> node.cut(true));
            fleet.network.run(6_000);
            int most = fleet.nodes.stream()
                    .mapToInt(node -> node.mostInFlight)
                    .max()
                    .orElse(0);
            // 60 nodes have 86 requests in flight, some 2.5 for each of the other 35
            assertTrue(most <= 25, most + " requests in flight at one node");
        }
    }

    @Test
    public void aSecondSetOfNodesThatIsCutOffAsTheFirstOneHealsIsServed() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(95, seed);
            fleet.nodes.subList(0, 94).forEach(node -> node.cut(true));
            fleet.network.run(5_000);
            fleet.nodes.forEach(node -> node.cut(node.id.equals("n94") || !node.id.equals("n7")));
            fleet.network.run(12_000);
            for (Fleet.Node node : fleet.nodes) {
                assertTrue(node.served >= 0.98 * node.sent, node.id + " " + node.served + " of " + node.sent);
            }
        }
    }

    @Test
    public void aRequestIsToldSoonThatNoNodeReachesTheWorkers() {
        Fleet fleet = new Fleet(95, 1);
        fleet.nodes.forEach(node -> node.cut(true));
        fleet.network.run(2_000);
        List<Long> toldMillis = new ArrayList<>();
        fleet.nodes.get(0).exchange.find(SERVICE, Set.of()).thenAccept(found -> {
            assertEquals(found, Optional.empty());
            toldMillis.add(fleet.network.time().monotonicMillis());
        });
        fleet.network.run(2_100);
        assertEquals(toldMillis.size(), 1);
    }

    @DataProvider
    public Object[][] nodeCounts() {
        return new Object[][] {{2}, {3}, {8}, {95}};
    }

    /** Nodes that say that they reach the workers, but have not taken the request, must not hold it to its deadline. */
    @Test(dataProvider = "nodeCounts")
    public void aRequestThatNoNodeHasTakenIsToldSoon(int nodeCount) {
        Fleet fleet = new Fleet(nodeCount, 1);
        Fleet.Node cut = fleet.nodes.get(0);
        cut.cut(true);
        fleet.network.run(1_000);
        Set<String> others = fleet.nodes.stream()
                .map(node -> node.id)
                .filter(id -> !id.equals(cut.id))
                .collect(Collectors.toSet());
        Set<String> allButOne = others.stream().filter(id -> !id.equals("n1")).collect(Collectors.toSet());
        List<Optional<String>> told = new ArrayList<>();
        cut.exchange.find(SERVICE, others).thenAccept(told::add);
        cut.exchange.find(SERVICE, allButOne).thenAccept(told::add);
        fleet.network.run(1_000 + DetourExchange.MAX_SEARCH_MILLIS + 2 * TICK_MILLIS);
        assertEquals(told.size(), 2, "requests that were told");
        assertTrue(told.contains(Optional.<String>empty()), "a request that all nodes have turned away");
    }

    @Test
    public void nothingIsAskedWhileNoNodeIsCutOff() {
        Fleet fleet = new Fleet(8, 1);
        fleet.network.run(5_000);
        fleet.nodes.forEach(node -> assertEquals(fleet.network.messages(node.id), 0));
        fleet.nodes.get(0).cut(true);
        fleet.network.run(8_000);
        fleet.nodes.get(0).cut(false);
        fleet.network.run(12_000);
        long before = fleet.network.messages("n0");
        fleet.network.run(20_000);
        assertEquals(fleet.network.messages("n0"), before, "it asks no more once it is not cut off");
    }
}
