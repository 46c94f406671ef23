package io.lagoonseam.core.forward;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Plays first events of workers that read faster or slower than is assumed before anything is known. */
public class FirstEventTimeTest {

    private static final long TOKENS = 10_000;
    private static final long WAY_MILLIS = 25;

    private static double expectedMillis(double tokensPerMilli) {
        return WAY_MILLIS + TOKENS / tokensPerMilli;
    }

    @Test
    public void afterFewEventsTheEstimateIsNearTheWorkersOwn() {
        for (double tokensPerMilli : new double[] {20, 55, 157}) {
            FirstEventTime time = new FirstEventTime();
            for (int event = 0; event < 4; event++) {
                time.observe(TOKENS, Math.round(expectedMillis(tokensPerMilli)));
            }
            double error = time.expectedMillis(TOKENS) / expectedMillis(tokensPerMilli);
            assertTrue(error > 0.75 && error < 1.35, tokensPerMilli + " a ms: " + error);
        }
    }

    /** Workers of a service are mostly alike, so one that has not answered yet is expected to be like the others. */
    @Test
    public void aWorkerWithoutEventsIsTakenToBeLikeTheOthersOfItsService() {
        FirstEventTime service = new FirstEventTime();
        FirstEventTime known = new FirstEventTime(service);
        for (int event = 0; event < 6; event++) {
            known.observe(TOKENS, Math.round(expectedMillis(157)));
        }
        FirstEventTime fresh = new FirstEventTime(service);
        assertTrue(fresh.expectedMillis(TOKENS) < 1.3 * expectedMillis(157), "" + fresh.expectedMillis(TOKENS));
    }

    @Test
    public void aWorkerThatIsSlowerThanTheOthersIsKnownByItsOwnEvents() {
        FirstEventTime service = new FirstEventTime();
        for (int event = 0; event < 20; event++) {
            service.observe(TOKENS, Math.round(expectedMillis(157)));
        }
        FirstEventTime slow = new FirstEventTime(service);
        for (int event = 0; event < 5; event++) {
            slow.observe(TOKENS, Math.round(expectedMillis(20)));
        }
        assertTrue(slow.expectedMillis(TOKENS) > 0.7 * expectedMillis(20), "" + slow.expectedMillis(TOKENS));
    }

    /** One answer that was late for another reason does not turn a worker slow. */
    @Test
    public void oneLateEventAmongManyChangesLittle() {
        FirstEventTime time = new FirstEventTime();
        for (int event = 0; event < 30; event++) {
            time.observe(TOKENS, Math.round(expectedMillis(55)));
        }
        double before = time.expectedMillis(TOKENS);
        time.observe(TOKENS, 4_000);
        assertTrue(time.expectedMillis(TOKENS) < 1.2 * before);
    }
}
