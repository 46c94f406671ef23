package io.lagoonseam.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.bench.soak.SoakLog.NodeAction;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.StreamTry;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that the oracle of the soak finds what callers that take up streams must not see, and nothing else. */
public class StreamOracleTest {

    private static final Map<String, String> VERSIONS = Map.of("e0", "v1", "e1", "v2", "e2", "v1", "e3", "v2");

    private SoakLog log;
    private long atMillis;

    @BeforeMethod
    public void start() {
        log = new SoakLog();
        atMillis = 100_000;
    }

    private static String events(String worker, String id, int from, int to) {
        StringBuilder body = new StringBuilder();
        for (int event = from; event <= to; event++) {
            body.append("worker: ").append(worker).append("\nid: ").append(event);
            body.append("\ndata: token ")
                    .append(event)
                    .append(" of ")
                    .append(id)
                    .append("\n\n");
        }
        return body.toString();
    }

    private void add(String stream, int number, int afterEvent, int status, String body) {
        atMillis += 10;
        log.add(new StreamTry(stream, stream + "-" + number, 0, afterEvent, atMillis, status, body));
    }

    private List<String> violations(Map<String, Integer> runs) {
        return new StreamOracle(log, VERSIONS, runs).check();
    }

    private void assertViolation(String name) {
        List<String> violations = violations(Map.of());
        assertEquals(violations.size(), 1, violations.toString());
        assertTrue(violations.get(0).startsWith(name), violations.toString());
    }

    @Test
    public void aStreamThatGoesOnAtItsVersionIsNoViolation() {
        add("s", 0, 0, 0, events("e0", "s-0", 1, 4) + "worker: e0\nid: 5");
        add("s", 1, 4, 503, "");
        add("s", 2, 4, 200, events("e2", "s-2", 5, SoakCaller.EVENTS));
        assertEquals(violations(Map.of("s-0", 1, "s-2", 1)), List.of());
    }

    @Test
    public void eventsOfTwoVersionsAreFound() {
        add("s", 0, 0, 0, events("e0", "s-0", 1, 4));
        add("s", 1, 4, 200, events("e1", "s-1", 5, SoakCaller.EVENTS));
        assertViolation("ONE_VERSION");
    }

    @Test
    public void eventsOfTwoVersionsWithinAnAnswerAreFound() {
        add("s", 0, 0, 200, events("e0", "s-0", 1, 4) + events("e1", "s-0", 5, SoakCaller.EVENTS));
        assertViolation("ONE_VERSION");
    }

    @Test
    public void aMissingEventIsFound() {
        add("s", 0, 0, 200, events("e0", "s-0", 1, 4) + events("e0", "s-0", 6, SoakCaller.EVENTS));
        assertViolation("OWN_ANSWER_WHOLE");
    }

    @Test
    public void aShortStreamThatLooksCompleteIsFound() {
        add("s", 0, 0, 200, events("e0", "s-0", 1, 4));
        assertViolation("OWN_ANSWER_WHOLE");
    }

    @Test
    public void anEventOfAnotherCallerIsFound() {
        add("s", 0, 0, 0, events("e0", "s-0", 1, 4) + events("e0", "t-0", 5, 5));
        assertViolation("OWN_ANSWER_WHOLE");
    }

    @Test
    public void aRefusedStreamThatRanIsFound() {
        add("s", 0, 0, 503, "");
        List<String> violations = violations(Map.of("s-0", 1));
        assertTrue(violations.get(0).startsWith("NOT_RUN_IS_TRUE"), violations.toString());
    }

    private void addTakenUp(int goneOn, int refused) {
        for (int number = 0; number < goneOn + refused; number++) {
            String stream = "s" + number;
            add(stream, 0, 0, 0, events("e0", stream + "-0", 1, 4));
            boolean goesOn = number < goneOn;
            add(stream, 1, 4, goesOn ? 200 : 503, goesOn ? events("e2", stream + "-1", 5, SoakCaller.EVENTS) : "");
        }
    }

    @Test
    public void streamsThatAreStarvedAreFound() {
        addTakenUp(5, 15);
        assertViolation("LOST");
    }

    @Test
    public void halfOfTheStreamsMayBeRefused() {
        addTakenUp(10, 10);
        assertEquals(violations(Map.of()), List.of());
    }

    @Test
    public void streamsAtANodeWithAFaultDoNotCountAsStarved() {
        addTakenUp(5, 15);
        log.add(new NodeEvent(NodeAction.KILL, 0, 100_000, 101_000));
        assertEquals(violations(Map.of()), List.of());
    }
}
