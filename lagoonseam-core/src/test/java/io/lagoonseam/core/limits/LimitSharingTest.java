package io.lagoonseam.core.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Limits;
import io.lagoonseam.core.configuration.Workspace;
import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.ManualTimeSource;
import io.lagoonseam.core.verdict.Refusal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class LimitSharingTest {

    private static final long REQUESTS_PER_SECOND = 60;
    private static final int CONCURRENCY = 30;

    private static FileSet fileSet() {
        FileSet.Builder builder = FileSet.builder();
        builder.add(new Limits("small", REQUESTS_PER_SECOND, 6_000, CONCURRENCY));
        builder.add(new Workspace("regina", List.of(), "small"));
        builder.add(new Workspace("unlimited", List.of(), ""));
        return builder.build();
    }

    private static Member member(String nodeId) {
        return new Member(nodeId, "prairie-a", "127.0.0.1", 1, 0, MemberState.ALIVE);
    }

    /** Three nodes that deliver messages to each other directly, unless the sender or receiver is unresponsive. */
    private static final class Cluster {

        private final ManualTimeSource time = new ManualTimeSource();
        private final Map<String, PeerHandler> handlers = new HashMap<>();
        private final Set<String> unresponsive = new HashSet<>();
        private final List<Member> live = new ArrayList<>();
        private final Map<String, WorkspaceLimitTable> tables = new HashMap<>();
        private final Map<String, LimitSharing> sharings = new HashMap<>();
        private final InMemoryCodec codec = new InMemoryCodec();

        private Cluster() {
            for (String nodeId : List.of("entry-1", "entry-2", "entry-3")) {
                live.add(member(nodeId));
            }
            live.forEach(self -> {
                WorkspaceLimitTable table = new WorkspaceLimitTable();
                table.configure(fileSet());
                table.setNodeCount(live.size());
                tables.put(self.nodeId(), table);
                sharings.put(
                        self.nodeId(),
                        new LimitSharing(
                                table,
                                new Directory(self),
                                new Transport(self.nodeId()),
                                codec,
                                40,
                                time,
                                new NoopEventSink()));
            });
        }

        private final class Directory implements MemberDirectory {
            private final Member self;

            private Directory(Member self) {
                this.self = self;
            }

            @Override
            public Member self() {
                return self;
            }

            @Override
            public List<Member> liveMembers() {
                return List.copyOf(live);
            }

            @Override
            public void onChange(Runnable listener) {
                // Live members are read on each request for shares.
            }
        }

        private final class Transport implements PeerTransport {
            private final String sender;

            private Transport(String sender) {
                this.sender = sender;
            }

            @Override
            public CompletionStage<PeerReply> request(String nodeId, int type, byte[] payload, long timeoutMillis) {
                if (unresponsive.contains(nodeId) || unresponsive.contains(sender)) {
                    return CompletableFuture.completedFuture(new PeerReply.Unknown("unresponsive"));
                }
                return handlers.get(nodeId).handle(sender, payload).thenApply(PeerReply.Answered::new);
            }

            @Override
            public void register(int type, PeerHandler handler) {
                handlers.put(sender, handler);
            }
        }

        /**
         * Simulates one second with the given number of requests at each node; returns the number admitted in total.
         */
        private int runSecond(Map<String, Integer> requestsByNode) {
            int admitted = 0;
            for (int slice = 0; slice < 20; slice++) {
                time.advanceMillis(50);
                for (Map.Entry<String, Integer> entry : requestsByNode.entrySet()) {
                    for (int number = 0; number < entry.getValue() / 20; number++) {
                        admitted += tryRequest(entry.getKey()) ? 1 : 0;
                    }
                }
            }
            sharings.forEach((node, sharing) -> {
                if (live.stream().anyMatch(member -> member.nodeId().equals(node))) {
                    sharing.requestShares();
                }
            });
            return admitted;
        }

        private boolean tryRequest(String node) {
            WorkspaceLimitTable table = tables.get(node);
            Optional<Refusal> refusal = table.tryAcquire("regina", time.monotonicMillis());
            if (refusal.isEmpty()) {
                table.release("regina", 1, time.monotonicMillis());
            }
            return refusal.isEmpty();
        }

        private String home() {
            return Rendezvous.subset("regina", live, Member::nodeId, 1).get(0).nodeId();
        }
    }

    /** Keeps messages as objects in memory, since this test does not cover their encoding. */
    private static final class InMemoryCodec implements LimitCodec {

        private final List<Object> messages = new ArrayList<>();

        private byte[] store(Object message) {
            messages.add(message);
            return Integer.toString(messages.size() - 1).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] encodeDemands(List<LimitDemand> demands) {
            return store(demands);
        }

        @Override
        @SuppressWarnings("unchecked")
        public List<LimitDemand> decodeDemands(byte[] encoded) {
            return (List<LimitDemand>) messages.get(Integer.parseInt(new String(encoded, StandardCharsets.UTF_8)));
        }

        @Override
        public byte[] encodeShares(List<LimitShare> shares) {
            return store(shares);
        }

        @Override
        @SuppressWarnings("unchecked")
        public List<LimitShare> decodeShares(byte[] encoded) {
            return (List<LimitShare>) messages.get(Integer.parseInt(new String(encoded, StandardCharsets.UTF_8)));
        }
    }

    public static final class AcrossNodes {

        private Cluster cluster;

        @BeforeMethod
        public void create() {
            cluster = new Cluster();
        }

        @Test
        public void singleDemandingNodeGetsWholeLimit() {
            int admitted = 0;
            for (int second = 0; second < 10; second++) {
                admitted = cluster.runSecond(Map.of("entry-1", 200));
            }
            assertTrue(admitted >= REQUESTS_PER_SECOND - 2, "admitted " + admitted);
            assertTrue(admitted <= REQUESTS_PER_SECOND + 1, "admitted " + admitted);
        }

        @Test
        public void demandAtAllNodesStaysWithinLimit() {
            Map<String, Integer> requestsByNode = Map.of("entry-1", 200, "entry-2", 200, "entry-3", 20);
            cluster.runSecond(requestsByNode);
            for (int second = 0; second < 20; second++) {
                int admitted = cluster.runSecond(requestsByNode);
                assertTrue(admitted <= REQUESTS_PER_SECOND * 1.1, "admitted in second " + second + ": " + admitted);
                if (second > 8) {
                    assertTrue(admitted >= REQUESTS_PER_SECOND * 0.8, "admitted in second " + second + ": " + admitted);
                }
            }
        }

        @Test
        public void unresponsiveHomeFallsBackToEqualShares() {
            Map<String, Integer> requestsByNode = Map.of("entry-1", 200, "entry-2", 20, "entry-3", 200);
            for (int second = 0; second < 8; second++) {
                cluster.runSecond(requestsByNode);
            }
            cluster.unresponsive.add(cluster.home());
            cluster.runSecond(requestsByNode);
            for (int second = 0; second < 8; second++) {
                int admitted = cluster.runSecond(requestsByNode);
                assertTrue(admitted <= REQUESTS_PER_SECOND * 1.1, "admitted in second " + second + ": " + admitted);
                assertTrue(admitted >= REQUESTS_PER_SECOND / 3, "admitted in second " + second + ": " + admitted);
            }
        }

        @Test
        public void newHomeGrantsWholeLimit() {
            Map<String, Integer> requestsByNode = new HashMap<>(Map.of("entry-1", 200, "entry-2", 200, "entry-3", 200));
            for (int second = 0; second < 8; second++) {
                cluster.runSecond(requestsByNode);
            }
            String failedHome = cluster.home();
            cluster.unresponsive.add(failedHome);
            cluster.live.removeIf(member -> member.nodeId().equals(failedHome));
            requestsByNode.remove(failedHome);
            int admitted = 0;
            for (int second = 0; second < 8; second++) {
                admitted = cluster.runSecond(requestsByNode);
                assertTrue(admitted <= REQUESTS_PER_SECOND * 1.1, "admitted in second " + second + ": " + admitted);
            }
            assertTrue(admitted >= REQUESTS_PER_SECOND - 3, "admitted " + admitted);
        }
    }

    public static final class GrantedShares {

        /** One node has a small demand; the other nodes must get an equal share for their first requests. */
        @Test
        public void newDemandGetsEqualShareOfUnusedLimit() {
            Limits limits = new Limits("small", REQUESTS_PER_SECOND, 6_000, CONCURRENCY);
            LimitHome home = new LimitHome(workspace -> Optional.of(limits), () -> NODES);
            LimitAmounts smallDemand = new LimitAmounts(5, 100, 2);
            for (long nowMillis = 0; nowMillis <= 5_000; nowMillis += 1_000) {
                home.grant("entry-1", List.of(new LimitDemand("regina", smallDemand)), nowMillis);
            }
            LimitShare share = home.grant("entry-2", List.of(new LimitDemand("regina", smallDemand)), 5_100)
                    .get(0);
            double equalShare = 1.0 / NODES.size();
            assertTrue(share.amounts().requestsPerSecond() >= 0.9 * equalShare * REQUESTS_PER_SECOND, share.toString());
            assertTrue(share.amounts().tokensPerSecond() >= 0.9 * equalShare * 6_000, share.toString());
            assertTrue(share.amounts().concurrency() >= 0.9 * equalShare * CONCURRENCY, share.toString());
        }

        private static final Set<String> NODES =
                IntStream.range(0, 8).mapToObj(number -> "entry-" + number).collect(Collectors.toSet());

        @Test
        public void sharesNeverExceedLimitInTotal() {
            ManualTimeSource time = new ManualTimeSource();
            Limits limits = new Limits("small", REQUESTS_PER_SECOND, 6_000, CONCURRENCY);
            LimitHome home = new LimitHome(workspace -> Optional.of(limits), () -> NODES);
            Random random = new Random(31);
            Map<String, LimitShare> shares = new HashMap<>();
            Map<String, Long> endsMillis = new HashMap<>();
            for (int step = 0; step < 20_000; step++) {
                time.advanceMillis(random.nextInt(400));
                long nowMillis = time.monotonicMillis();
                String node = "entry-" + random.nextInt(8);
                LimitDemand demand = new LimitDemand(
                        "regina", new LimitAmounts(random.nextInt(200), random.nextInt(20_000), random.nextInt(100)));
                LimitShare share = home.grant(node, List.of(demand), nowMillis).get(0);
                shares.put(node, share);
                endsMillis.put(node, nowMillis + share.validMillis());
                shares.keySet().removeIf(name -> endsMillis.get(name) <= nowMillis);
                LimitAmounts sum = shares.values().stream()
                        .map(LimitShare::amounts)
                        .reduce(LimitAmounts.ZERO, (all, next) -> all.combine(next, Double::sum));
                assertTrue(sum.requestsPerSecond() <= REQUESTS_PER_SECOND + 1e-6, sum.toString());
                assertTrue(sum.tokensPerSecond() <= 6_000 + 1e-6, sum.toString());
                assertTrue(sum.concurrency() <= CONCURRENCY + 1e-6, sum.toString());
            }
        }
    }

    public static final class Table {

        private final WorkspaceLimitTable table = new WorkspaceLimitTable();

        @Test
        public void limitsConcurrencyAndSetsRetryAfter() {
            table.configure(fileSet());
            for (int number = 0; number < CONCURRENCY; number++) {
                assertTrue(table.tryAcquire("regina", 0).isEmpty());
            }
            Refusal refusal = table.tryAcquire("regina", 0).orElseThrow();
            assertEquals(refusal.event(), EventCode.WORKSPACE_OVER_LIMIT);
            assertEquals(refusal.verdict().label(), "not_run");
            assertTrue(refusal.retryAfterMillis().orElseThrow() > 0);
            table.release("regina", 10, 0);
            assertTrue(table.tryAcquire("regina", 0).isEmpty());
            assertTrue(table.tryAcquire("unlimited", 0).isEmpty());
        }

        /** Shares are renewed every second, so the retry-after delay must not be computed from a rate of zero. */
        @Test
        public void retryAfterDoesNotExceedShareValidity() {
            WorkspaceLimitTable fresh = new WorkspaceLimitTable();
            fresh.configure(fileSet());
            assertTrue(fresh.tryAcquire("regina", 0).isEmpty());
            fresh.applyShare(new LimitShare("regina", LimitAmounts.ZERO, LimitHome.SHARE_VALID_MILLIS), 0, 0);
            fresh.release("regina", 40, 0);
            Refusal refusal = fresh.tryAcquire("regina", 10).orElseThrow();
            assertTrue(
                    refusal.retryAfterMillis().orElseThrow() <= LimitHome.SHARE_VALID_MILLIS,
                    refusal.retryAfterMillis().toString());
        }

        @Test
        public void chargesGeneratedTokensOnRelease() {
            WorkspaceLimitTable fresh = new WorkspaceLimitTable();
            fresh.configure(fileSet());
            assertTrue(fresh.tryAcquire("regina", 0).isEmpty());
            fresh.release("regina", 12_000, 0);
            assertFalse(fresh.tryAcquire("regina", 500).isEmpty());
            assertTrue(fresh.tryAcquire("regina", 1_100).isEmpty());
        }
    }
}
