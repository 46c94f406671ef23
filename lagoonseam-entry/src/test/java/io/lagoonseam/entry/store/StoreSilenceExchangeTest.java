package io.lagoonseam.entry.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.entry.configuration.fleet.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests, in virtual time, that all nodes learn of a change in time after their connections to the store went silent.
 */
public class StoreSilenceExchangeTest {

    private static final long CONTACT_MILLIS = 3_000;
    private static final long APPLY_MILLIS = 2_000;
    private static final int MAX_LATENCY_MILLIS = 15;
    private static final int SEEDS = 4;

    private final VirtualTime time = new VirtualTime();
    private final List<Node> nodes = new ArrayList<>();
    private Random random;
    private long messages;

    private final class Node {

        private final int index = nodes.size();
        private final Map<Integer, PeerHandler> handlers = new HashMap<>();
        private final List<Followed> followed = List.of(new Followed(), new Followed());
        private final StoreSilenceExchange exchange;

        Node(int count) {
            exchange = new StoreSilenceExchange(new StoreSilenceExchange.Environment(
                    time,
                    time,
                    Runnable::run,
                    transport(),
                    () -> count > 9 ? others() : List.of(),
                    random,
                    () -> followed.forEach(each -> each.follower.doNotTrustWatch())));
            followed.forEach(each -> each.start(count, exchange));
        }

        private List<String> others() {
            return nodes.stream()
                    .filter(node -> !node.equals(this))
                    .map(node -> Integer.toString(node.index))
                    .toList();
        }

        private PeerTransport transport() {
            return new PeerTransport() {
                @Override
                public CompletionStage<PeerReply> request(String to, int type, byte[] payload, long timeoutMillis) {
                    messages++;
                    PeerHandler handler =
                            nodes.get(Integer.parseInt(to)).handlers.get(type);
                    time.schedule(
                            1 + random.nextInt(MAX_LATENCY_MILLIS),
                            () -> handler.handle(Integer.toString(index), payload));
                    return new CompletableFuture<>();
                }

                @Override
                public void register(int messageType, PeerHandler handler) {
                    handlers.put(messageType, handler);
                }
            };
        }
    }

    private final class Followed implements CollectionFollower.Listener {

        private final FaultyCollection store = new FaultyCollection(time);
        private CollectionFollower follower;
        private StoreSilenceExchange exchange;
        private long known;

        void start(int count, StoreSilenceExchange toldBy) {
            exchange = toldBy;
            follower = new CollectionFollower(
                    time,
                    time,
                    store,
                    CollectionStore.UPSTREAMS,
                    this,
                    random,
                    new CollectionFollower.Options(
                            () -> WatchPolicy.longPollTimeoutMillis(count, random),
                            () -> WatchPolicy.gatherMillis(count),
                            false));
            follower.start();
        }

        @Override
        public void listed(List<CollectionObject> objects, long revision) {
            known = revision;
        }

        @Override
        public void changed(List<CollectionObject> objects, long revision) {
            known = revision;
        }

        @Override
        public void failed(String reason) {
            // calls may fail
        }

        @Override
        public void succeeded() {
            // listed and changed tell more
        }

        @Override
        public void silent() {
            exchange.noticed();
        }
    }

    private void start(int count, long seed) {
        nodes.clear();
        random = new Random(seed);
        for (int index = 0; index < count; index++) {
            nodes.add(new Node(count));
        }
        time.runFor(5_000);
        messages = 0;
    }

    private void changeAll() {
        nodes.forEach(node -> node.followed.forEach(each -> each.store.change()));
    }

    private void modeOfAll(FaultyCollection.Mode mode) {
        nodes.forEach(node -> node.followed.forEach(each -> each.store.mode(mode)));
    }

    private boolean allKnow() {
        return nodes.stream()
                .flatMap(node -> node.followed.stream())
                .allMatch(each -> each.known == each.store.revision());
    }

    @DataProvider
    public Object[][] nodeCounts() {
        return new Object[][] {{1}, {8}, {10}, {95}};
    }

    /** Guards against nodes of a large deployment that wait for the end of long polls (review, case 4). */
    @Test(dataProvider = "nodeCounts")
    public void allNodesLearnOfAChangeAfterTheirConnectionsHaveGoneSilent(int count) {
        int late = 0;
        int moments = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            for (long quietMillis : new long[] {300, 1_500, 6_000}) {
                for (long untilChangeMillis : new long[] {0, 200, 1_000, 2_500}) {
                    start(count, seed);
                    changeAll();
                    time.runFor(quietMillis);
                    nodes.forEach(node -> node.followed.forEach(each -> each.store.silenceOpenConnections()));
                    time.runFor(untilChangeMillis);
                    changeAll();
                    time.runFor(Math.max(APPLY_MILLIS, CONTACT_MILLIS - untilChangeMillis));
                    moments++;
                    late += allKnow() ? 0 : 1;
                }
            }
        }
        assertEquals(late, 0, "late, of " + moments);
    }

    /** While the store itself is silent, the nodes do not keep each other busy. */
    @Test(dataProvider = "nodeCounts")
    public void aSilentStoreCausesFewMessages(int count) {
        start(count, 1);
        modeOfAll(FaultyCollection.Mode.SILENT);
        time.runFor(30_000);
        assertTrue(messages <= 20L * count, messages + " messages of " + count + " nodes");
        modeOfAll(FaultyCollection.Mode.UP);
        time.runFor(CONTACT_MILLIS);
        changeAll();
        time.runFor(APPLY_MILLIS);
        assertEquals(allKnow(), true);
    }
}
