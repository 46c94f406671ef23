package io.lagoonseam.entry.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.quarantine.Suspect;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.core.time.ManualTimeSource;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.QuarantineMessages.Decision;
import io.lagoonseam.wire.QuarantineMessages.Try;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests one node among others that answer what cannot be read, or know what it does not. */
public class QuarantineExchangeTest {

    private static final Suspect PART = Suspect.promptPart("p");
    private static final long CALLER = 1;

    private final Map<Integer, PeerHandler> handlers = new HashMap<>();
    private final List<Runnable> scheduled = new ArrayList<>();
    private ManualTimeSource time;
    private QuarantineExchange exchange;

    @BeforeMethod
    public void create() {
        handlers.clear();
        scheduled.clear();
        time = new ManualTimeSource();
        PeerTransport transport = new PeerTransport() {
            @Override
            public CompletionStage<PeerReply> request(String to, int type, byte[] payload, long timeoutMillis) {
                return type == MessageTypes.QUARANTINE_SYNC
                        ? handlers.get(type).handle(to, payload).thenApply(PeerReply.Answered::new)
                        : CompletableFuture.completedFuture(new PeerReply.Answered(new byte[] {42}));
            }

            @Override
            public void register(int messageType, PeerHandler handler) {
                handlers.put(messageType, handler);
            }
        };
        exchange = new QuarantineExchange(new QuarantineExchange.Environment(
                time,
                transport,
                Runnable::run,
                (delayMillis, task) -> scheduled.add(task),
                new Random(1),
                "own",
                () -> List.of("other1", "other2"),
                new QuarantineExchange.Listener() {
                    @Override
                    public void onQuarantined(Suspect suspect, int crashes) {
                        // asked for instead
                    }

                    @Override
                    public void onReleased(Suspect suspect) {
                        // asked for instead
                    }
                }));
    }

    private void advance(long millis) {
        time.advanceMillis(millis);
        List<Runnable> due = List.copyOf(scheduled);
        scheduled.clear();
        due.forEach(Runnable::run);
    }

    @Test
    public void nodesWhoseAnswersCannotBeReadDoNotKeepThisOneFromDeciding() {
        for (int worker = 0; worker < PART.kind().crashesToQuarantine(); worker++) {
            advance(1_000);
            exchange.crashed(Set.of(PART), CALLER, new WorkerIncarnation("llm", "w" + worker, 1), 0);
        }
        advance(1_000);
        assertEquals(exchange.inForce(Set.of(PART)), Set.of(PART));
    }

    @Test
    public void aNodeThatDoesNotKnowASuspectLetsNoRequestThrough() {
        exchange.tick();
        byte[] answer = handlers.get(MessageTypes.QUARANTINE_TRY)
                .handle("other1", new Try(PART, CALLER, true).encode())
                .toCompletableFuture()
                .join();
        assertFalse(Decision.decode(answer).allowed());
    }
}
