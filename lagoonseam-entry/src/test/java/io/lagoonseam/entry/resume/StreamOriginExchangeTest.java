package io.lagoonseam.entry.resume;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.resume.ServiceWindow;
import io.lagoonseam.core.resume.StreamKey;
import io.lagoonseam.core.resume.StreamOrigin;
import io.lagoonseam.core.resume.VersionHistory.Versions;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.wire.StreamOriginMessages.Answer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests where a stream goes on that no node remembers, without a network. */
public class StreamOriginExchangeTest {

    private static final StreamKey STREAM = new StreamKey("w", "s");
    private static final ServiceWindow WINDOW = new ServiceWindow("h/t/", "llm", 10_000);
    private static final Versions ONLY_V1 = new Versions(true, Set.of("v1"));

    private final Map<String, Versions> answersByNode = new HashMap<>();
    private Optional<Set<String>> registered;
    private List<String> nodes;
    private boolean knowsAllNodes;

    @BeforeMethod
    public void start() {
        answersByNode.clear();
        nodes = List.of("a", "b", "c", "d", "e", "f", "g");
        knowsAllNodes = true;
        registered = Optional.of(Set.of("v1"));
    }

    private Optional<StreamOrigin> find() {
        PeerTransport transport = new PeerTransport() {
            @Override
            public CompletionStage<PeerReply> request(String node, int type, byte[] payload, long timeoutMillis) {
                Versions versions = answersByNode.get(node);
                return CompletableFuture.completedFuture(
                        versions == null
                                ? new PeerReply.Unknown("no answer in time")
                                : new PeerReply.Answered(new Answer(List.of(), versions).encode()));
            }

            @Override
            public void register(int messageType, PeerHandler handler) {}
        };
        return new StreamOriginExchange(new StreamOriginExchange.Environment(
                        new SystemTimeSource(),
                        transport,
                        Runnable::run,
                        (delayMillis, task) -> {},
                        () -> nodes,
                        () -> knowsAllNodes,
                        window -> ONLY_V1,
                        service -> CompletableFuture.completedFuture(registered)))
                .find(STREAM, WINDOW)
                .toCompletableFuture()
                .join();
    }

    private void answer(Versions versions, String... names) {
        for (String name : names) {
            answersByNode.put(name, versions);
        }
    }

    @Test
    public void itGoesOnAtTheOnlyVersionThatHalfOfTheNodesHaveSeen() {
        answer(new Versions(false, Set.of("v1")), "a", "b", "c", "d");
        assertEquals(find(), Optional.of(new StreamOrigin("llm", "v1")));
    }

    @Test
    public void aNodeThatIsCutOffFromTheOthersDoesNotTrustItsOwnView() {
        answer(ONLY_V1, "a", "b", "c");
        assertEquals(find(), Optional.empty());
    }

    @Test
    public void oneNodeThatHasSeenAnotherVersionIsEnough() {
        answer(ONLY_V1, "a", "b", "c", "d", "e", "f");
        answer(new Versions(false, Set.of("v2")), "g");
        assertEquals(find(), Optional.empty());
    }

    @Test
    public void theOnlyNodeKnowsIfItHasReadThatItIsTheOnlyOne() {
        nodes = List.of();
        assertEquals(find(), Optional.of(new StreamOrigin("llm", "v1")));
        knowsAllNodes = false;
        assertEquals(find(), Optional.empty());
    }

    /**
     * Guards against a node that is out of step while workers of another version join, and takes up a stream that began
     * there (further report of the review).
     */
    @Test
    public void nodesThatAreOutOfStepDoNotTrustWhatTheyHaveObserved() {
        answer(ONLY_V1, "a", "b", "c", "d");
        registered = Optional.of(Set.of("v1", "v2"));
        assertEquals(find(), Optional.empty());
        registered = Optional.empty();
        assertEquals(find(), Optional.empty());
        registered = Optional.of(Set.of("v2"));
        assertEquals(find(), Optional.empty());
    }

    @Test
    public void allNodesTogetherNeedNoStore() {
        answer(ONLY_V1, "a", "b", "c", "d", "e", "f", "g");
        registered = Optional.empty();
        assertEquals(find(), Optional.of(new StreamOrigin("llm", "v1")));
    }

    @Test
    public void theOnlyNodeThatDoesNotReachTheStoreDoesNotTrustItself() {
        nodes = List.of();
        registered = Optional.empty();
        assertEquals(find(), Optional.empty());
    }
}
