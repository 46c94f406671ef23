package io.lagoonseam.core.reach;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.reach.ServiceReach.Check;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a node concludes that it reaches no worker of a service. */
public class ServiceReachTest {

    private ServiceReach reach;

    @BeforeMethod
    public void create() {
        reach = new ServiceReach();
    }

    private void cutOff(long nowMillis) {
        reach.failed(nowMillis);
        runCheck(Check.ONE, false, nowMillis);
        runCheck(Check.SEVERAL, false, nowMillis);
        assertTrue(reach.cutOff());
    }

    private void runCheck(Check expected, boolean reached, long nowMillis) {
        assertEquals(reach.beginCheck(nowMillis), Optional.of(expected));
        assertEquals(reach.beginCheck(nowMillis), Optional.empty(), "one check at a time");
        reach.checked(expected, reached, nowMillis);
    }

    @Test
    public void aNodeWithoutAttemptsDoesNotCheck() {
        assertEquals(reach.beginCheck(1_000_000), Optional.empty());
        assertFalse(reach.doubtful());
    }

    @Test
    public void aFailedAttemptIsNoCutIfAnotherWorkerAcceptsAConnection() {
        reach.failed(1_000);
        assertTrue(reach.doubtful());
        runCheck(Check.ONE, false, 1_002);
        assertTrue(reach.doubtful());
        assertFalse(reach.cutOff());
        runCheck(Check.SEVERAL, true, 1_004);
        assertFalse(reach.doubtful());
        assertFalse(reach.cutOff());
    }

    @Test
    public void aFailedAttemptCausesNoCheckIfAConnectionWasOpenedSinceItBegan() {
        reach.connected(1_500);
        reach.failed(1_000);
        assertEquals(reach.beginCheck(1_600), Optional.empty());
        reach.failed(1_550);
        assertEquals(reach.beginCheck(1_600), Optional.of(Check.ONE));
    }

    @Test
    public void answersOnOpenConnectionsAreNoProofThatNewOnesAreAccepted() {
        reach.heard(1_500);
        reach.failed(1_000);
        runCheck(Check.ONE, false, 1_510);
        reach.heard(1_520);
        runCheck(Check.SEVERAL, false, 1_530);
        assertTrue(reach.cutOff());
    }

    @Test
    public void silenceCausesAnOccasionalCheckOfOneWorker() {
        reach.attemptBegan(1_000);
        assertEquals(reach.beginCheck(1_300), Optional.empty());
        runCheck(Check.ONE, true, 1_400);
        assertEquals(reach.beginCheck(2_300), Optional.empty());
        runCheck(Check.ONE, true, 2_400);
        reach.heard(3_200);
        assertEquals(reach.beginCheck(3_400), Optional.empty());
        reach.attemptEnded();
        assertEquals(reach.beginCheck(9_000), Optional.empty());
    }

    @Test
    public void silenceIsCountedFromTheFirstAttemptAfterAnIdleTime() {
        reach.heard(1_000);
        reach.attemptBegan(5_000);
        assertEquals(reach.beginCheck(5_100), Optional.empty());
    }

    @Test
    public void aNodeThatIsCutOffChecksAgainAndAgain() {
        cutOff(1_000);
        assertEquals(reach.beginCheck(1_200), Optional.empty());
        runCheck(Check.AGAIN, false, 1_250);
        runCheck(Check.AGAIN, false, 1_750);
        runCheck(Check.AGAIN, false, 2_750);
        assertEquals(reach.beginCheck(3_700), Optional.empty());
        assertTrue(reach.cutOff());
        runCheck(Check.AGAIN, true, 3_750);
        assertFalse(reach.cutOff());
        cutOff(3_800);
        runCheck(Check.AGAIN, false, 4_050);
    }

    @Test
    public void aConnectionOfAnAttemptEndsTheCut() {
        cutOff(1_000);
        reach.connected(1_100);
        assertFalse(reach.cutOff());
    }

    @Test
    public void aConnectionThatIsOpenedDuringTheCheckPreventsTheConclusion() {
        reach.failed(1_000);
        runCheck(Check.ONE, false, 1_001);
        assertEquals(reach.beginCheck(1_002), Optional.of(Check.SEVERAL));
        reach.connected(1_003);
        reach.checked(Check.SEVERAL, false, 1_200);
        assertFalse(reach.cutOff());
    }

    @Test
    public void aWorkerWasSeenIfItWasHeardOrAcceptedAConnection() {
        assertFalse(reach.sawWorkerWithin(1_000, 5_000));
        reach.heard(4_500);
        assertTrue(reach.sawWorkerWithin(1_000, 5_000));
        reach.connected(6_000);
        assertTrue(reach.sawWorkerWithin(1_000, 7_000));
        assertFalse(reach.sawWorkerWithin(1_000, 7_001));
    }
}
