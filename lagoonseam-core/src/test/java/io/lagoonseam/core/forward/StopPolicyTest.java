package io.lagoonseam.core.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests which requests a node accepts after it was requested to stop. */
public class StopPolicyTest {

    private static final long STOP_MILLIS = 8_000;

    private static Route route(WorkKind kind, long timeoutMillis) {
        return new Route(
                "r", "h", "/", kind, timeoutMillis, 1_000, 0, 0, List.of(new WeightedService("s", 1)), 1, false);
    }

    @Test
    public void rejectsAStreamThatMightNotEndInTime() {
        StopPolicy policy = new StopPolicy(1_000, STOP_MILLIS);
        Route stream = route(WorkKind.STREAM, 12_000);
        assertTrue(policy.accepts(stream, 1_000 + 2_500));
        // a stream accepted 3.7 s after the stop request was aborted 4 s later by the stop
        assertFalse(policy.accepts(stream, 1_000 + 3_723));
    }

    /** Guards against requests that are taken late in the grace and cut off at its end, whatever the grace. */
    @Test
    public void whatIsAcceptedHasTimeToEnd() {
        for (long stopMillis = 1_000; stopMillis <= 30_000; stopMillis += 500) {
            StopPolicy policy = new StopPolicy(0, stopMillis);
            for (long atMillis = 0; atMillis <= stopMillis; atMillis += 100) {
                for (long timeoutMillis : List.of(300L, 1_500L, 6_000L)) {
                    Route work = route(WorkKind.NON_IDEMPOTENT, timeoutMillis);
                    assertTrue(!policy.accepts(work, atMillis) || atMillis + timeoutMillis <= policy.exitMillis());
                }
                Route stream = route(WorkKind.STREAM, 6_000);
                assertTrue(!policy.accepts(stream, atMillis) || atMillis <= stopMillis / 2, stopMillis + " ms");
            }
        }
    }

    @Test
    public void acceptsARequestIfItsTimeoutEndsBeforeTheStop() {
        StopPolicy policy = new StopPolicy(0, STOP_MILLIS);
        Route body = route(WorkKind.NON_IDEMPOTENT, 1_500);
        assertTrue(policy.accepts(body, 5_000));
        assertFalse(policy.accepts(body, 6_500));
        assertTrue(policy.exitMillis() < STOP_MILLIS);
    }
}
