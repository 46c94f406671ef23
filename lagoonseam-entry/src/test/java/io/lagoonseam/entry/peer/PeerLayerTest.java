package io.lagoonseam.entry.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.PiggybackSource;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks requests, membership and piggybacked values between three nodes. */
public final class PeerLayerTest {

    private static final int HANDLED_TYPE = 19;
    private static final int UNHANDLED_TYPE = 18;
    private static final int PIGGYBACK_KEY = 99;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final byte[] HELLO = "hello".getBytes(StandardCharsets.UTF_8);

    private Vertx vertx;
    private PlatformStandIn platform;
    private final List<EntryNode> nodes = new ArrayList<>();

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        platform = new PlatformStandIn("127.0.0.1", 0, 1);
        vertx.deployVerticle(platform).await();
        for (int number = 1; number <= 3; number++) {
            startNode("entry-" + number);
        }
        awaitTrue(() -> nodes.stream().allMatch(node -> liveIds(node).equals("entry-1 entry-2 entry-3")));
    }

    @AfterMethod
    public void stop() {
        nodes.forEach(node -> node.halt().await());
        nodes.clear();
        vertx.close().await();
    }

    private EntryNode startNode(String nodeId) {
        EntrySettings settings = EntrySettings.builder(nodeId, "prairie-a", platform.url())
                .leaveNoticeMillis(0)
                .build();
        EntryNode node = new EntryNode(vertx, settings, new NoopEventSink());
        node.start().await();
        nodes.add(node);
        return node;
    }

    private static String liveIds(EntryNode node) {
        return String.join(
                " ",
                node.peers().members().liveMembers().stream()
                        .map(Member::nodeId)
                        .toList());
    }

    private static void awaitTrue(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private PeerReply request(String receiverId, int type) {
        return nodes.get(0)
                .peers()
                .transport()
                .request(receiverId, type, HELLO, TIMEOUT_MILLIS)
                .toCompletableFuture()
                .join();
    }

    @Test(timeOut = 60_000)
    public void answersRequests() {
        nodes.get(1)
                .peers()
                .transport()
                .register(
                        HANDLED_TYPE,
                        (sender, payload) ->
                                CompletableFuture.completedFuture((sender + new String(payload, StandardCharsets.UTF_8))
                                        .getBytes(StandardCharsets.UTF_8)));
        PeerReply.Answered answered = (PeerReply.Answered) request("entry-2", HANDLED_TYPE);
        assertEquals(new String(answered.payload(), StandardCharsets.UTF_8), "entry-1hello");
    }

    @Test(timeOut = 60_000)
    public void refusedRequestsAndRequestsWithoutConnectionAreNotSent() {
        assertTrue(request("entry-2", UNHANDLED_TYPE) instanceof PeerReply.NotSent);
        assertTrue(request("nobody", HANDLED_TYPE) instanceof PeerReply.NotSent);
    }

    @Test(timeOut = 60_000)
    public void failedAndUnansweredRequestsAreUnknown() {
        nodes.get(1).peers().transport().register(HANDLED_TYPE, (sender, payload) -> {
            throw new IllegalArgumentException("cannot");
        });
        nodes.get(2).peers().transport().register(HANDLED_TYPE, (sender, payload) -> new CompletableFuture<>());
        assertTrue(request("entry-2", HANDLED_TYPE) instanceof PeerReply.Unknown);
        PeerReply late = nodes.get(0)
                .peers()
                .transport()
                .request("entry-3", HANDLED_TYPE, HELLO, 50)
                .toCompletableFuture()
                .join();
        assertTrue(late instanceof PeerReply.Unknown);
    }

    @Test(timeOut = 60_000)
    public void detectsLeavingDeadAndRestartedNodes() {
        nodes.remove(2).stop().await();
        awaitTrue(() -> nodes.stream().allMatch(node -> liveIds(node).equals("entry-1 entry-2")));
        nodes.remove(1).halt().await();
        awaitTrue(() -> liveIds(nodes.get(0)).equals("entry-1"));
        startNode("entry-2");
        awaitTrue(() -> nodes.stream().allMatch(node -> liveIds(node).equals("entry-1 entry-2")));
    }

    @Test(timeOut = 60_000)
    public void piggybackedValuesReachAllNodes() {
        Map<String, Long> receivedValues = new ConcurrentHashMap<>();
        for (EntryNode node : nodes) {
            node.peers().piggybacks().add(new PiggybackSource() {
                @Override
                public int key() {
                    return PIGGYBACK_KEY;
                }

                @Override
                public long value() {
                    return 42;
                }

                @Override
                public void onReceived(String senderId, long value) {
                    receivedValues.put(node.settings().nodeId() + "<" + senderId, value);
                }
            });
        }
        awaitTrue(() -> receivedValues.size() == 6);
        assertTrue(receivedValues.values().stream().allMatch(value -> value == 42));
    }
}
