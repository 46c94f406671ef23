package io.lagoonseam.entry.placement;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.PromptShape;
import io.lagoonseam.core.forward.WorkerDemand;
import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.placement.PlacementDecision;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.PlacementMessages.Decided;
import io.lagoonseam.wire.PlacementMessages.Decisions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a decision of a home is not acted on after the time for which it was asked. */
public class LateDecisionTest {

    private static final String HOME = "10.0.0.1:7340";
    private static final String SERVICE = "app";
    private static final long WAIT_MILLIS = 100;

    private final List<String> outcomes = new ArrayList<>();
    private long monotonicMillis;
    private long wallMillis;
    private PlacementClient client;

    @BeforeMethod
    public void askHome() {
        outcomes.clear();
        monotonicMillis = 1_000;
        wallMillis = 1_700_000_000_000L;
        TimeSource time = new TimeSource() {
            @Override
            public long monotonicNanos() {
                return TimeUnit.MILLISECONDS.toNanos(monotonicMillis);
            }

            @Override
            public long wallMillis() {
                return wallMillis;
            }
        };
        PeerTransport neverAnswers = new PeerTransport() {
            @Override
            public CompletionStage<PeerReply> request(String nodeId, int type, byte[] payload, long timeoutMillis) {
                return new CompletableFuture<>();
            }

            @Override
            public void register(int type, PeerHandler handler) {
                // nothing is received
            }
        };
        client = new PlacementClient(
                new HomeChannel(neverAnswers, null, "10.0.0.2:7340", Runnable::run, time),
                DecisionLog.NOOP,
                "a",
                () -> Map.of(HOME, 1_000));
        client.place(new Waiting(), WAIT_MILLIS);
    }

    private final class Waiting implements PlacedRequest {

        @Override
        public String service() {
            return SERVICE;
        }

        @Override
        public int priority() {
            return 1;
        }

        @Override
        public int answerTokens() {
            return 0;
        }

        @Override
        public long leftMillis() {
            return 1_000;
        }

        @Override
        public WorkerDemand demand() {
            return new WorkerDemand(
                    new PromptShape(0, 0, 0), Lane.TOLERANT, 300, monotonicMillis + 300, "a", 1, true, Set.of(), "");
        }

        @Override
        public void onQueued() {
            outcomes.add("queued");
        }

        @Override
        public void onGranted(PlacementDecision.Granted granted, Placement placement) {
            outcomes.add("granted");
        }

        @Override
        public void onRefused(PlacementDecision.Refused refused) {
            outcomes.add("refused");
        }

        @Override
        public void onUndecided() {
            outcomes.add("undecided");
        }
    }

    private void receiveGrant() {
        PlacementDecision granted = new PlacementDecision.Granted("w1", 0, 0, "", true, "test");
        client.onLateDecisions(HOME, new Decisions(SERVICE, 1, List.of(new Decided(1, granted))));
    }

    @Test
    public void aDecisionInTimeIsUsed() {
        monotonicMillis += WAIT_MILLIS;
        wallMillis += WAIT_MILLIS;
        receiveGrant();
        assertEquals(outcomes, List.of("granted"));
    }

    @Test
    public void aDecisionThatArrivesAfterAPauseOfTheProcessIsNotUsed() {
        monotonicMillis += 3_000;
        wallMillis += 3_000;
        receiveGrant();
        assertEquals(outcomes, List.of("undecided"));
    }

    /** The monotonic clock does not count the time for which a VM is suspended. */
    @Test
    public void aDecisionThatArrivesAfterASuspensionOfTheVmIsNotUsed() {
        wallMillis += 3_000;
        receiveGrant();
        assertEquals(outcomes, List.of("undecided"));
    }
}
