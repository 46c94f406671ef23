package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.StoreOutages;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.time.ManualTimeSource;
import io.lagoonseam.entry.store.CollectionFollower;
import io.lagoonseam.entry.store.CollectionObject;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which workers serve after changes that one answer of the store holds together, without a network. */
public class StoreReplicaTest {

    private UpstreamDirectory directory;
    private CollectionFollower.Listener listener;

    private static final class Decoder implements RecordDecoder {

        @Override
        public JsonNode content(String collection, byte[] bytes) {
            return JsonNodeFactory.instance.objectNode();
        }

        @Override
        public Optional<RoutingConfiguration> configuration(CollectionObject object) {
            return Optional.empty();
        }

        @Override
        public Optional<UpstreamRecord> upstream(CollectionObject object) {
            if (!object.content().isObject()) {
                return Optional.empty();
            }
            return Optional.of(new UpstreamRecord(
                    object.name(), object.revision(), "app", "v1", "10.0.0.1", 80, "a", 6, false, object.revision()));
        }
    }

    @BeforeMethod
    public void start() {
        StoreOutages outages = new StoreOutages(1_200);
        directory = new UpstreamDirectory(outages);
        ForwardEnvironment environment = new ForwardEnvironment(
                null, null, null, new ManualTimeSource(), new Random(1), DecisionLog.NOOP, new MetricRegistry());
        listener = new StoreReplica(
                        environment, new Decoder(), directory, configuration -> {}, () -> {}, forMillis -> {}, () -> {})
                .upstreamListener();
        listener.listed(List.of(written("w1", 2), written("w2", 3)), 3);
    }

    private static CollectionObject written(String name, long revision) {
        return new CollectionObject(name, revision, false, JsonNodeFactory.instance.objectNode());
    }

    private static CollectionObject removed(String name, long revision) {
        return new CollectionObject(name, revision, true, null);
    }

    private List<String> serving() {
        return directory.serving().stream().map(UpstreamRecord::id).sorted().toList();
    }

    /** Guards against a worker that starts again under its id and is not used, since more changed after it. */
    @Test
    public void aWorkerThatStartsAgainWithinOneAnswerServes() {
        listener.changed(List.of(removed("w1", 2), written("w1", 6), written("w2", 9)), 9);
        assertEquals(serving(), List.of("w1", "w2"));
    }

    /** Guards against a worker that is used, or not, depending on whether its entry came in a listing or in a watch. */
    @Test
    public void anEntryThatNamesNoWorkerAnyMoreIsLikeOneThatWasRemoved() {
        listener.changed(List.of(new CollectionObject("w1", 6, false, JsonNodeFactory.instance.arrayNode())), 6);
        assertEquals(serving(), List.of("w2"));
        listener.changed(List.of(written("w1", 7)), 7);
        assertEquals(serving(), List.of("w1", "w2"));
    }

    @Test
    public void aWorkerThatLeavesAgainWithinOneAnswerDoesNotServe() {
        listener.changed(List.of(removed("w1", 2), written("w1", 6), removed("w1", 6), written("w2", 9)), 9);
        assertEquals(serving(), List.of("w2"));
        listener.changed(List.of(written("w1", 8)), 10);
        assertEquals(serving(), List.of("w2"));
    }
}
