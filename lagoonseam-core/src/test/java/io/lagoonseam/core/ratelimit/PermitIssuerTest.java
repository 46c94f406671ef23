package io.lagoonseam.core.ratelimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests how many permits are issued, and to whom. */
public class PermitIssuerTest {

    private static final WorkerIncarnation WORKER = new WorkerIncarnation("app", "w1", 1);

    private static PermitAsk ask(String node, int priority, long expiresMillis) {
        return new PermitAsk(WORKER, node, expiresMillis, priority, expiresMillis);
    }

    private static long granted(List<PermitIssuer.Answer> answers) {
        return answers.stream().filter(PermitIssuer.Answer::granted).count();
    }

    @Test
    public void permitsFollowTheRateAndASavedOneIsTheMost() {
        PermitIssuer issuer = new PermitIssuer(worker -> 2);
        assertEquals(granted(issuer.ask(ask("a", 0, 1), 0)), 0);
        long issued = 0;
        for (long nowMillis = 5_000; nowMillis < 9_000; nowMillis += 10) {
            issued += granted(issuer.ask(ask("a" + nowMillis, 0, nowMillis + 1), nowMillis));
        }
        assertTrue(issued >= 8 && issued <= 9, issued + " in 4 s at 2 a second");
    }

    @Test
    public void theMostUrgentQuestionGetsTheNextPermit() {
        PermitIssuer issuer = new PermitIssuer(worker -> 1);
        issuer.ask(ask("early", 5, 3_000), 0);
        issuer.ask(ask("urgent", 0, 3_001), 10);
        issuer.ask(ask("late", 5, 3_002), 20);
        List<String> order = new ArrayList<>();
        for (long nowMillis = 30; nowMillis < 3_000; nowMillis += 10) {
            issuer.tick(nowMillis).forEach(answer -> order.add(answer.ask().node()));
        }
        assertEquals(order, List.of("urgent", "early"));
    }

    @Test
    public void aNodeWaitsWithOneQuestionAtATime() {
        PermitIssuer issuer = new PermitIssuer(worker -> 1);
        PermitAsk first = ask("a", 5, 400);
        issuer.ask(first, 0);
        assertEquals(issuer.ask(ask("a", 0, 410), 10), List.of(new PermitIssuer.Answer(first, false)));
        assertEquals(issuer.waiting(), 1);
        assertEquals(issuer.tick(410).size(), 1);
        assertEquals(issuer.waiting(), 0);
    }

    /** Without any request, a worker could never say that its limit has ended. */
    @Test
    public void aLimitOfZeroStillLetsARequestThroughNowAndThen() {
        PermitIssuer issuer = new PermitIssuer(worker -> 0.000_1);
        issuer.ask(ask("a", 0, 1), 0);
        assertEquals(granted(issuer.ask(ask("b", 0, 10_500), 10_000)), 1);
    }

    @Test
    public void aNodeThatIsNoIssuerIssuesNothing() {
        PermitIssuer issuer = new PermitIssuer(worker -> 0);
        issuer.ask(ask("a", 0, 1), 0);
        assertEquals(granted(issuer.ask(ask("b", 0, 100_500), 100_000)), 0);
    }
}
