package io.lagoonseam.core.reach;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how much a node takes over from nodes that are cut off. */
public class DetourAdmissionTest {

    private static final int PLACES = 20;
    private static final long BYTES = 1_000;

    private DetourAdmission admission;

    @BeforeMethod
    public void create() {
        admission = new DetourAdmission(PLACES, BYTES);
    }

    private int takeAll(int priority, double lagMillis) {
        int taken = 0;
        while (taken < 100 && admission.tryBegin(priority, 0, lagMillis)) {
            taken++;
        }
        return taken;
    }

    @Test
    public void lessUrgentRequestsLeavePlacesToTheMostUrgentOnes() {
        assertEquals(takeAll(1, 0), 15);
        assertEquals(takeAll(0, 0), 5);
        assertEquals(admission.inFlight(), PLACES);
        admission.ended(0);
        assertFalse(admission.tryBegin(1, 0, 0));
        assertTrue(admission.tryBegin(0, 0, 0));
    }

    @Test
    public void aBusyNodeTakesTheMostUrgentRequestsLongest() {
        assertEquals(takeAll(3, 60), 0);
        assertTrue(admission.tryBegin(1, 0, 60));
        assertFalse(admission.tryBegin(1, 0, 150));
        assertTrue(admission.tryBegin(0, 0, 150));
        assertFalse(admission.tryBegin(0, 0, 250));
    }

    @Test
    public void bodiesAreBounded() {
        assertTrue(admission.tryBegin(0, 600, 0));
        assertFalse(admission.tryBegin(0, 600, 0));
        admission.ended(600);
        assertTrue(admission.tryBegin(0, 600, 0));
    }
}
