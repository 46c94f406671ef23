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
        UpstreamTrust detector = new UpstreamTrust();
        Random random = new Random(1);
        int ejected = 0;
        for (int index = 0; index < 2_000; index++) {
            boolean failed = random.nextDouble() < 0.05;
            detector.observe(failed ? UpstreamTrust.Outcome.FAILED : UpstreamTrust.Outcome.ANSWERED, index, HEALTHY);
            ejected += detector.aside() ? 1 : 0;
        }
        assertTrue(ejected < 20, "ejected at " + ejected + " of 2000 outcomes");
    }

    @Test
    public void aWorkerThatFailsHalfOfItsRequestsIsEjected() {
        UpstreamTrust detector = new UpstreamTrust();
        int sent = 0;
        while (!detector.aside() && sent < 100) {
            detector.observe(
                    sent % 2 == 0 ? UpstreamTrust.Outcome.FAILED : UpstreamTrust.Outcome.ANSWERED, sent, HEALTHY);
            sent++;
        }
        assertTrue(sent <= 8, "ejected after " + sent + " outcomes");
    }

    @Test
    public void anUnresponsiveWorkerIsProbedWithOneRequest() {
        UpstreamTrust detector = new UpstreamTrust();
        detector.observe(UpstreamTrust.Outcome.SILENT, 0, HEALTHY);
        detector.observe(UpstreamTrust.Outcome.SILENT, 10, HEALTHY);
        assertTrue(detector.aside());
        assertFalse(detector.trusted(100));
        assertTrue(detector.trusted(2_000));
        detector.sent();
        assertFalse(detector.trusted(2_001));
        detector.observe(UpstreamTrust.Outcome.ANSWERED, 2_050, HEALTHY);
        assertTrue(detector.trusted(2_051));
        assertFalse(detector.aside());
    }

    @Test
    public void eachFailedProbeExtendsTheBackoff() {
        UpstreamTrust detector = new UpstreamTrust();
        detector.observe(UpstreamTrust.Outcome.SILENT, 0, HEALTHY);
        detector.observe(UpstreamTrust.Outcome.SILENT, 0, HEALTHY);
        detector.sent();
        detector.observe(UpstreamTrust.Outcome.SILENT, 1_000, HEALTHY);
        assertFalse(detector.trusted(1_900));
        assertTrue(detector.trusted(2_500));
    }

    @Test
    public void aReplacedWorkerIsEjectedAtOnce() {
        UpstreamTrust detector = new UpstreamTrust();
        detector.observe(UpstreamTrust.Outcome.ANSWERED, 0, HEALTHY);
        detector.observe(UpstreamTrust.Outcome.REPLACED, 1, HEALTHY);
        assertTrue(detector.aside());
    }
}
