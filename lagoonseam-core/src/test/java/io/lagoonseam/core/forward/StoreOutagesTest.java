package io.lagoonseam.core.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests when a missing record may have expired. */
public class StoreOutagesTest {

    private static final long INTERVAL_MILLIS = 1_200;

    @Test
    public void aRecordMayHaveExpiredAfterALongOutageOnly() {
        for (long lengthMillis = 100; lengthMillis <= 6_000; lengthMillis += 100) {
            StoreOutages outages = new StoreOutages(INTERVAL_MILLIS);
            outages.succeeded(9_900);
            outages.failed(10_000, 10_000 + lengthMillis / 2);
            outages.succeeded(10_000 + lengthMillis);
            boolean longOutage = lengthMillis >= 1.5 * INTERVAL_MILLIS;
            assertTrue(outages.mayHaveExpired(10_000 + lengthMillis) == longOutage, lengthMillis + " ms");
            assertFalse(outages.mayHaveExpired(10_001 + lengthMillis + StoreOutages.REREGISTRATION_MILLIS));
        }
    }

    /** Guards against a call that fails after its outage, and extends it (review, case 9). */
    @Test
    public void aCallThatWasSentBeforeAnAnswerDoesNotCount() {
        StoreOutages outages = new StoreOutages(INTERVAL_MILLIS);
        outages.failed(1_000, 2_200);
        outages.succeeded(5_000);
        outages.failed(4_990, 6_190);
        assertTrue(outages.mayHaveExpired(7_400));
        assertFalse(outages.mayHaveExpired(7_401));
    }

    @Test
    public void outagesThatLeaveNoTimeToWriteRecordsCountAsOne() {
        StoreOutages outages = new StoreOutages(INTERVAL_MILLIS);
        for (long atMillis = 10_000; atMillis < 16_000; atMillis += 1_000) {
            outages.failed(atMillis, atMillis + 300);
            outages.succeeded(atMillis + 400);
        }
        assertTrue(outages.mayHaveExpired(15_500));
        StoreOutages apart = new StoreOutages(INTERVAL_MILLIS);
        for (long atMillis = 10_000; atMillis < 20_000; atMillis += 2_000) {
            apart.failed(atMillis, atMillis + 300);
            apart.succeeded(atMillis + 400);
            assertFalse(apart.mayHaveExpired(atMillis + 500));
        }
    }

    @Test
    public void whileTheStoreIsAwayNothingIsConcluded() {
        StoreOutages outages = new StoreOutages(INTERVAL_MILLIS);
        outages.failed(1_000, 2_200);
        assertFalse(outages.mayHaveExpired(2_300));
        assertTrue(outages.mayHaveExpired(60_000));
    }
}
