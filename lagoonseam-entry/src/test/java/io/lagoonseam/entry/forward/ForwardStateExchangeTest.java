package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.forward.StoreOutages;
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
import io.lagoonseam.wire.ForwardMessages.InFlightCount;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the in-flight counts that a node reports to its peers in successive rounds. */
public class ForwardStateExchangeTest {

    private final ManualTimeSource time = new ManualTimeSource();
    private final List<ForwardMessages.State> sent = new ArrayList<>();
    private Vertx vertx;
    private ForwardDispatcher dispatcher;
    private ForwardStateExchange exchange;

    @BeforeMethod
    public void start() {
        sent.clear();
        vertx = Vertx.vertx();
        NodeSettings settings = new NodeSettings(
                "node-1",
                "dc-1",
                new ListenAddress("10.0.0.1", 1),
                new ListenAddress("10.0.0.1", 2),
                new ListenAddress("10.0.0.1", 3),
                new ListenAddress("10.0.0.1", 5),
                true,
                List.of("10.0.0.2"),
                new ListenAddress("10.9.0.1", 4),
                new NodeSettings.Bounds(8_000, 0.2, 10_000, 50, 1_200),
                new NodeSettings.Resources(280, 4_000, 750),
                Optional.empty());
        ForwardEnvironment environment = new ForwardEnvironment(
                vertx,
                new CurrentSettings(settings),
                null,
                time,
                new Random(1),
                DecisionLog.NOOP,
                new MetricRegistry());
        UpstreamDirectory directory = new UpstreamDirectory(new StoreOutages(1_200));
        directory.applyChange(new UpstreamRecord("w1", 1, "llm", "v1", "10.1.0.1", 80, "dc-1", 64, false, 1));
        dispatcher = new ForwardDispatcher(environment, vertx.createHttpClient(new HttpClientOptions()), directory);
        dispatcher.refresh();
        NodeDirectory nodes = new NodeDirectory(environment, new UnavailableStore(), dispatcher::nodeCount);
        exchange = new ForwardStateExchange(
                environment, new RecordingTransport(), dispatcher, nodes, new EmptyStoreState());
    }

    @AfterMethod
    public void stop() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    private Map<String, InFlightCount> countsSentInNextRound() {
        sent.clear();
        exchange.broadcast();
        return sent.get(0).counts();
    }

    /**
     * If the count of zero is not reported, peers go on counting the last request until their copy of the count
     * expires. The zero is checked in broadcasts with attempt outcomes and in those without.
     */
    @Test
    public void endOfLastRequestAtWorkerIsReportedInNextRound() {
        UpstreamState worker = dispatcher.worker("w1").orElseThrow();
        int withOutcomes = 0;
        int withoutOutcomes = 0;
        for (int pass = 0; pass < 8; pass++) {
            worker.recentOutcomes().observe(pass % 3 == 0, time.monotonicMillis());
            int requests = 1 + pass % 2;
            for (int request = 1; request <= requests; request++) {
                worker.started(100, 100);
                InFlightCount expected = new InFlightCount(request, 100L * request);
                assertEquals(countsSentInNextRound(), Map.of("w1", expected), "pass " + pass);
            }
            for (int request = 0; request < requests; request++) {
                worker.promptRead(100);
                worker.ended(100);
            }
            assertEquals(countsSentInNextRound(), Map.of("w1", new InFlightCount(0, 0)), "pass " + pass);
            boolean outcomes = !sent.get(0).outcomes().isEmpty();
            withOutcomes += outcomes ? 1 : 0;
            withoutOutcomes += outcomes ? 0 : 1;
        }
        assertEquals(withOutcomes > 0 && withoutOutcomes > 0, true, withOutcomes + " with outcomes of 8");
    }

    private final class RecordingTransport implements PeerTransport {
        @Override
        public void register(int type, PeerHandler handler) {
            // no node sends requests to this one
        }

        @Override
        public CompletionStage<PeerReply> request(String peer, int type, byte[] payload, long timeoutMillis) {
            sent.add(ForwardMessages.decodeState(payload));
            return new CompletableFuture<>();
        }
    }

    private static final class EmptyStoreState implements ForwardStateExchange.StoreState {
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
        public void apply(ForwardMessages.Snapshot snapshot) {
            // no node returns a snapshot
        }
    }

    private static final class UnavailableStore implements CollectionStore {
        private static Future<StoreResult> unavailable() {
            return Future.succeededFuture(new StoreResult.Unavailable("the test has no store"));
        }

        @Override
        public Future<StoreResult> list(String collection, boolean mayBeStale) {
            return unavailable();
        }

        @Override
        public Future<StoreResult> watch(String collection, long revision, long longPollTimeoutMillis) {
            return unavailable();
        }

        @Override
        public Future<StoreResult> put(String collection, String name, JsonNode content) {
            return unavailable();
        }

        @Override
        public Future<StoreResult> read(String collection, String name, boolean mayBeStale) {
            return unavailable();
        }

        @Override
        public Future<StoreResult> replace(String collection, String name, JsonNode content, long revision) {
            return unavailable();
        }

        @Override
        public Future<StoreResult> remove(String collection, String name) {
            return unavailable();
        }
    }
}
