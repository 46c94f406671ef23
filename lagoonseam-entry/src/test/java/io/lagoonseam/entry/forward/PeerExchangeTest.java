package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.ManualTimeSource;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.StoreResult;
import io.lagoonseam.wire.ForwardMessages;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a node tells its peers, round by round. */
public class PeerExchangeTest {

    private final ManualTimeSource time = new ManualTimeSource();
    private final List<ForwardMessages.State> told = new ArrayList<>();
    private Vertx vertx;
    private ForwardDispatcher dispatcher;
    private PeerExchange exchange;

    @BeforeMethod
    public void start() {
        told.clear();
        vertx = Vertx.vertx();
        NodeSettings settings = new NodeSettings(
                "node-1",
                "dc-1",
                new ListenAddress("10.0.0.1", 1),
                new ListenAddress("10.0.0.1", 2),
                new ListenAddress("10.0.0.1", 3),
                true,
                List.of("10.0.0.2"),
                new ListenAddress("10.9.0.1", 4),
                new NodeSettings.Bounds(8_000, 0.2, 10_000, 50),
                new NodeSettings.Resources(280, 4_000));
        ForwardEnvironment environment = new ForwardEnvironment(
                vertx,
                new CurrentSettings(settings),
                null,
                time,
                new Random(1),
                DecisionLog.NOOP,
                new MetricRegistry());
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.changed(new UpstreamRecord("w1", 1, "llm", "10.1.0.1", 80, "dc-1", 64, false, 1));
        dispatcher = new ForwardDispatcher(environment, vertx.createHttpClient(new HttpClientOptions()), directory);
        dispatcher.refresh();
        NodeDirectory nodes = new NodeDirectory(environment, new NoStore(), dispatcher::nodes);
        exchange = new PeerExchange(environment, new Recorder(), dispatcher, nodes, new NothingKnown());
    }

    @AfterMethod
    public void stop() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    private Map<String, ForwardMessages.Count> countsOfNextRound() {
        told.clear();
        exchange.tick();
        return told.get(0).counts();
    }

    /** A peer that is not told goes on counting the request until its count is too old. */
    @Test
    public void theEndOfTheLastRequestAtAWorkerIsToldInEachKindOfRound() {
        UpstreamState worker = dispatcher.worker("w1").orElseThrow();
        for (int round = 0; round < 4; round++) {
            worker.started(100, 100);
            assertEquals(countsOfNextRound(), Map.of("w1", new ForwardMessages.Count(1, 100)), "round " + round);
            worker.promptRead(100);
            worker.ended(100);
            assertEquals(countsOfNextRound(), Map.of("w1", new ForwardMessages.Count(0, 0)), "round " + round);
            // one more round, so that the next request falls on a round of the other kind
            worker.started(7, 7);
            countsOfNextRound();
            worker.promptRead(7);
            worker.ended(7);
            countsOfNextRound();
            worker.started(9, 9);
            countsOfNextRound();
            worker.promptRead(9);
            worker.ended(9);
            assertEquals(countsOfNextRound(), Map.of("w1", new ForwardMessages.Count(0, 0)), "round " + round);
        }
    }

    private final class Recorder implements PeerTransport {
        @Override
        public void register(int type, PeerHandler handler) {
            // nobody asks this node
        }

        @Override
        public CompletionStage<PeerReply> request(String peer, int type, byte[] payload, long timeoutMillis) {
            told.add(ForwardMessages.decodeState(payload));
            return new CompletableFuture<>();
        }
    }

    private static final class NothingKnown implements PeerExchange.Knowledge {
        @Override
        public long configurationVersion() {
            return -1;
        }

        @Override
        public long upstreamRevision() {
            return -1;
        }

        @Override
        public ForwardMessages.Snapshot snapshot() {
            return new ForwardMessages.Snapshot(-1, List.of(), -1, List.of());
        }

        @Override
        public void take(ForwardMessages.Snapshot snapshot) {
            // nobody hands over anything
        }
    }

    private static final class NoStore implements CollectionStore {
        private static Future<StoreResult> away() {
            return Future.succeededFuture(new StoreResult.Unavailable("no store here"));
        }

        @Override
        public Future<StoreResult> list(String collection) {
            return away();
        }

        @Override
        public Future<StoreResult> watch(String collection, long revision, long waitMillis) {
            return away();
        }

        @Override
        public Future<StoreResult> put(String collection, String name, JsonNode content) {
            return away();
        }

        @Override
        public Future<StoreResult> remove(String collection, String name) {
            return away();
        }
    }
}
