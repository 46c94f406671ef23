package io.lagoonseam.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.bench.soak.SoakLog.Call;
import io.lagoonseam.bench.soak.SoakLog.LimitChange;
import io.lagoonseam.bench.soak.SoakLog.NodeAction;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.Outcome;
import io.lagoonseam.standin.worker.WorkerStandIn.Arrival;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the oracle of the soak finds what it is to find, and only that. */
public class SoakOracleTest {

    private SoakLog log;
    private List<Arrival> arrivals;
    private List<Arrival> crashes;
    private Map<String, Integer> runs;

    @BeforeMethod
    public void createLog() {
        log = new SoakLog();
        arrivals = new ArrayList<>();
        crashes = new ArrayList<>();
        runs = new HashMap<>();
    }

    private void call(String id, long sentMillis, Outcome outcome, int status, String limitedBy, String body) {
        log.add(new Call(id, "pay", 0, sentMillis, sentMillis + 10, outcome, status, limitedBy, body));
    }

    private void served(String id, long atMillis, String limitedBy) {
        call(id, atMillis, Outcome.ANSWERED, 200, limitedBy, "w1 ran " + id);
        arrivals.add(new Arrival(id, atMillis));
        runs.merge(id, 1, Integer::sum);
    }

    private List<String> check() {
        return new SoakOracle(log, Map.of("w1", arrivals), Map.of("w1", crashes), runs).check();
    }

    private void servedEach(long intervalMillis, long untilMillis) {
        log.add(new LimitChange("w1", 1, 0));
        for (long at = 0; at < untilMillis; at += intervalMillis) {
            served("r" + at, at, "w1");
        }
    }

    @Test
    public void moreRequestsThanTheLimitAllowsAreFound() {
        servedEach(300, 12_000);
        assertEquals(check().size(), 1);
        assertTrue(check().get(0).startsWith("LIMIT w1 got 14 requests"), check().get(0));
    }

    @Test
    public void asManyRequestsAsToleratedAreNotReported() {
        servedEach(400, 12_000);
        assertEquals(check(), List.of());
    }

    @Test
    public void requestsOfANodeThatHasJustRestartedAreExcused() {
        servedEach(300, 12_000);
        log.add(new NodeEvent(NodeAction.KILL, 0, 500, 11_500));
        assertEquals(check(), List.of());
    }

    @Test
    public void aLimitThatWasEndedDoesNotBind() {
        servedEach(300, 12_000);
        log.add(new LimitChange("w1", Double.POSITIVE_INFINITY, 2_000));
        assertEquals(check(), List.of());
    }

    @Test
    public void requestsThatEndWithTheCrashOfTheirWorkerAreExcusedAndOthersAreNot() {
        crashes.add(new Arrival("bad", 1_005));
        call("there", 1_000, Outcome.CUT, 0, "", "");
        arrivals.add(new Arrival("there", 1_001));
        assertEquals(check(), List.of());
        call("elsewhere", 1_000, Outcome.CUT, 0, "", "");
        call("later", 2_600, Outcome.CUT, 0, "", "");
        arrivals.add(new Arrival("later", 2_601));
        assertEquals(check().size(), 2, check().toString());
    }

    @Test
    public void requestsThatCrashWorkersAndAreSentOnAndOnAreFound() {
        SoakCrashCaller.CrashKind kind = SoakCrashCaller.CrashKind.REQUEST;
        for (int number = 0; number < 20; number++) {
            String id = kind.idPrefix() + number;
            log.add(new SoakLog.CrashTry(kind, id, number % 2, number * 1_000));
            arrivals.add(new Arrival(id, number * 1_000));
            crashes.add(new Arrival(id, number * 1_000 + 100));
        }
        CrashOracle oracle = new CrashOracle(log, Map.of("w1", arrivals), crashes);
        assertEquals(oracle.check().size(), 1);
        assertTrue(
                oracle.check().get(0).startsWith("BUDGET 14 requests"),
                oracle.check().get(0));
        log.add(new NodeEvent(NodeAction.FREEZE, 0, 0, 30_000));
        log.add(new NodeEvent(NodeAction.KILL, 1, 0, 13_900));
        assertEquals(new CrashOracle(log, Map.of("w1", arrivals), crashes).check(), List.of());
    }

    @Test
    public void requestsThatAreCutOffInAPlannedStopAreFound() {
        log.add(new NodeEvent(NodeAction.STOP, 0, 900, 3_000));
        call("cut", 1_000, Outcome.CUT, 0, "", "");
        assertEquals(check().size(), 1);
        assertTrue(check().get(0).startsWith("STOP_CUTS_NOTHING cut"), check().get(0));
    }

    @Test
    public void requestsThatAreCutOffByAKillAreExcused() {
        log.add(new NodeEvent(NodeAction.KILL, 0, 900, 3_000));
        call("cut", 1_000, Outcome.CUT, 0, "", "");
        assertEquals(check(), List.of());
    }

    @Test
    public void aConnectionThatWasNeverAcceptedIsNoCutUnlessItsRequestRan() {
        call("fresh", 1_000, Outcome.CUT_FRESH, 0, "", "");
        assertEquals(check(), List.of());
        runs.put("fresh", 1);
        assertEquals(check().size(), 1);
    }

    @Test
    public void paymentsThatRunTwiceOrAfterARefusalAreFound() {
        served("twice", 0, "");
        runs.put("twice", 2);
        call("refused", 0, Outcome.ANSWERED, 503, "", "");
        runs.put("refused", 1);
        assertEquals(check().size(), 2);
    }

    @Test
    public void theAnswerOfAnotherRequestIsFound() {
        call("mine", 0, Outcome.ANSWERED, 200, "", "w1 ran yours");
        assertTrue(check().get(0).startsWith("OWN_ANSWER_WHOLE mine"));
    }
}
