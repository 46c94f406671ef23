package io.lagoonseam.core.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Plays workers that fail, go silent and recover, and checks when they get work. */
public class UpstreamTrustTest {

    /** The other workers answer well. */
    private static final OutcomeCount HEALTHY = new OutcomeCount(40, 1);

    @Test
    public void aDeploymentsOwnErrorsDoNotSetAWorkerAside() {
        UpstreamTrust trust = new UpstreamTrust();
        Random random = new Random(1);
        int aside = 0;
        for (int index = 0; index < 2_000; index++) {
            boolean failed = random.nextDouble() < 0.05;
            trust.observe(failed ? UpstreamTrust.Outcome.FAILED : UpstreamTrust.Outcome.ANSWERED, index, HEALTHY);
            aside += trust.aside() ? 1 : 0;
        }
        assertTrue(aside < 20, "set aside for " + aside + " of 2000 answers");
    }

    @Test
    public void aWorkerThatFailsHalfOfItsRequestsIsSetAsideWithinSome() {
        UpstreamTrust trust = new UpstreamTrust();
        int sent = 0;
        while (!trust.aside() && sent < 100) {
            trust.observe(sent % 2 == 0 ? UpstreamTrust.Outcome.FAILED : UpstreamTrust.Outcome.ANSWERED, sent, HEALTHY);
            sent++;
        }
        assertTrue(sent <= 8, "set aside after " + sent);
    }

    @Test
    public void aSilentWorkerIsTriedAgainWithOneRequest() {
        UpstreamTrust trust = new UpstreamTrust();
        trust.observe(UpstreamTrust.Outcome.SILENT, 0, HEALTHY);
        trust.observe(UpstreamTrust.Outcome.SILENT, 10, HEALTHY);
        assertTrue(trust.aside());
        assertFalse(trust.trusted(100));
        assertTrue(trust.trusted(2_000));
        trust.sent();
        assertFalse(trust.trusted(2_001));
        trust.observe(UpstreamTrust.Outcome.ANSWERED, 2_050, HEALTHY);
        assertTrue(trust.trusted(2_051));
        assertFalse(trust.aside());
    }

    @Test
    public void eachTryThatFailsMakesThePauseLonger() {
        UpstreamTrust trust = new UpstreamTrust();
        trust.observe(UpstreamTrust.Outcome.SILENT, 0, HEALTHY);
        trust.observe(UpstreamTrust.Outcome.SILENT, 0, HEALTHY);
        trust.sent();
        trust.observe(UpstreamTrust.Outcome.SILENT, 1_000, HEALTHY);
        assertFalse(trust.trusted(1_900));
        assertTrue(trust.trusted(2_500));
    }

    @Test
    public void aReplacedWorkerIsSetAsideAtOnce() {
        UpstreamTrust trust = new UpstreamTrust();
        trust.observe(UpstreamTrust.Outcome.ANSWERED, 0, HEALTHY);
        trust.observe(UpstreamTrust.Outcome.REPLACED, 1, HEALTHY);
        assertTrue(trust.aside());
    }
}
