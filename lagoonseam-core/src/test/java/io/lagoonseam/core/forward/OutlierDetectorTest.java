package io.lagoonseam.core.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests the ejection, half-open probes and readmission of workers that fail, become unresponsive and recover. */
public class OutlierDetectorTest {

    /** Outcomes of healthy other workers: one failure in 40. */
    private static final OutcomeCount HEALTHY = new OutcomeCount(40, 1);

    @Test
    public void ordinaryRequestErrorsDoNotEjectAWorker() {
        OutlierDetector detector = new OutlierDetector();
        Random random = new Random(1);
        int ejected = 0;
        for (int index = 0; index < 2_000; index++) {
            boolean failed = random.nextDouble() < 0.05;
            detector.observe(
                    failed ? OutlierDetector.Outcome.FAILED : OutlierDetector.Outcome.ANSWERED, index, HEALTHY);
            ejected += detector.ejected() ? 1 : 0;
        }
        assertTrue(ejected < 20, "ejected at " + ejected + " of 2000 outcomes");
    }

    @Test
    public void aWorkerThatFailsHalfOfItsRequestsIsEjected() {
        OutlierDetector detector = new OutlierDetector();
        int sent = 0;
        while (!detector.ejected() && sent < 100) {
            detector.observe(
                    sent % 2 == 0 ? OutlierDetector.Outcome.FAILED : OutlierDetector.Outcome.ANSWERED, sent, HEALTHY);
            sent++;
        }
        assertTrue(sent <= 8, "ejected after " + sent + " outcomes");
    }

    @Test
    public void anUnresponsiveWorkerIsProbedWithOneRequest() {
        OutlierDetector detector = new OutlierDetector();
        detector.observe(OutlierDetector.Outcome.SILENT, 0, HEALTHY);
        detector.observe(OutlierDetector.Outcome.SILENT, 10, HEALTHY);
        assertTrue(detector.ejected());
        assertFalse(detector.acceptsRequests(100));
        assertTrue(detector.acceptsRequests(2_000));
        detector.requestSent();
        assertFalse(detector.acceptsRequests(2_001));
        detector.observe(OutlierDetector.Outcome.ANSWERED, 2_050, HEALTHY);
        assertTrue(detector.acceptsRequests(2_051));
        assertFalse(detector.ejected());
    }

    @Test
    public void aProbeWhoseCallerLeavesIsFollowedByAnotherOne() {
        OutlierDetector detector = new OutlierDetector();
        detector.observe(OutlierDetector.Outcome.SILENT, 0, HEALTHY);
        detector.observe(OutlierDetector.Outcome.SILENT, 10, HEALTHY);
        assertTrue(detector.acceptsRequests(2_000));
        detector.requestSent();
        assertFalse(detector.acceptsRequests(7_000));
        assertTrue(detector.acceptsRequests(8_000));
        detector.requestSent();
        assertFalse(detector.acceptsRequests(8_001), "one at a time");
        detector.observe(OutlierDetector.Outcome.ANSWERED, 8_050, HEALTHY);
        assertFalse(detector.ejected());
    }

    @Test
    public void eachFailedProbeExtendsTheBackoff() {
        OutlierDetector detector = new OutlierDetector();
        detector.observe(OutlierDetector.Outcome.SILENT, 0, HEALTHY);
        detector.observe(OutlierDetector.Outcome.SILENT, 0, HEALTHY);
        detector.requestSent();
        detector.observe(OutlierDetector.Outcome.SILENT, 1_000, HEALTHY);
        assertFalse(detector.acceptsRequests(1_900));
        assertTrue(detector.acceptsRequests(2_500));
    }

    @Test
    public void aReplacedWorkerIsEjectedAtOnce() {
        OutlierDetector detector = new OutlierDetector();
        detector.observe(OutlierDetector.Outcome.ANSWERED, 0, HEALTHY);
        detector.observe(OutlierDetector.Outcome.REPLACED, 1, HEALTHY);
        assertTrue(detector.ejected());
    }
}
