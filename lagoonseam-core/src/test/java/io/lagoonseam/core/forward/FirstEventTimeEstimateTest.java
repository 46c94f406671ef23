package io.lagoonseam.core.forward;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Feeds estimates with first events of workers that read faster or slower than the initial rate. */
public class FirstEventTimeEstimateTest {

    private static final long TOKENS = 10_000;
    private static final long FIXED_MILLIS = 25;

    private static double expectedMillis(double tokensPerMilli) {
        return FIXED_MILLIS + TOKENS / tokensPerMilli;
    }

    @Test
    public void convergesAfterFewObservations() {
        for (double tokensPerMilli : new double[] {20, 55, 157}) {
            FirstEventTimeEstimate estimate = new FirstEventTimeEstimate();
            for (int event = 0; event < 4; event++) {
                estimate.observe(TOKENS, Math.round(expectedMillis(tokensPerMilli)));
            }
            double ratio = estimate.expectedMillis(TOKENS) / expectedMillis(tokensPerMilli);
            assertTrue(ratio > 0.75 && ratio < 1.35, tokensPerMilli + " tokens per ms: ratio " + ratio);
        }
    }

    /** Workers of a service mostly have the same speed, so a new one is expected to be as fast as the others. */
    @Test
    public void usesTheServiceEstimateWithoutOwnObservations() {
        FirstEventTimeEstimate service = new FirstEventTimeEstimate();
        FirstEventTimeEstimate observed = new FirstEventTimeEstimate(service);
        for (int event = 0; event < 6; event++) {
            observed.observe(TOKENS, Math.round(expectedMillis(157)));
        }
        FirstEventTimeEstimate newWorker = new FirstEventTimeEstimate(service);
        assertTrue(newWorker.expectedMillis(TOKENS) < 1.3 * expectedMillis(157), "" + newWorker.expectedMillis(TOKENS));
    }

    @Test
    public void usesOwnObservationsOfASlowerWorker() {
        FirstEventTimeEstimate service = new FirstEventTimeEstimate();
        for (int event = 0; event < 20; event++) {
            service.observe(TOKENS, Math.round(expectedMillis(157)));
        }
        FirstEventTimeEstimate slow = new FirstEventTimeEstimate(service);
        for (int event = 0; event < 5; event++) {
            slow.observe(TOKENS, Math.round(expectedMillis(20)));
        }
        assertTrue(slow.expectedMillis(TOKENS) > 0.7 * expectedMillis(20), "" + slow.expectedMillis(TOKENS));
    }

    /** One answer delayed for another reason must not make the worker appear slow. */
    @Test
    public void oneOutlierChangesTheEstimateLittle() {
        FirstEventTimeEstimate estimate = new FirstEventTimeEstimate();
        for (int event = 0; event < 30; event++) {
            estimate.observe(TOKENS, Math.round(expectedMillis(55)));
        }
        double before = estimate.expectedMillis(TOKENS);
        estimate.observe(TOKENS, 4_000);
        assertTrue(estimate.expectedMillis(TOKENS) < 1.2 * before);
    }
}
