package io.lagoonseam.bench.chaos;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public final class FaultPlanGeneratorTest {

    private static final long RUN_MILLIS = 60_000;

    @Test
    public void sameSeedGivesTheSameSchedule() {
        assertEquals(FaultPlanGenerator.generate(7, RUN_MILLIS), FaultPlanGenerator.generate(7, RUN_MILLIS));
        assertNotEquals(FaultPlanGenerator.generate(7, RUN_MILLIS), FaultPlanGenerator.generate(8, RUN_MILLIS));
    }

    @Test
    public void everyFaultEndsBeforeTheEndOfTheRun() {
        List<PlannedFault> faults = FaultPlanGenerator.generate(3, RUN_MILLIS);
        assertTrue(faults.size() > 20, faults.size() + " faults");
        for (PlannedFault fault : faults) {
            assertTrue(fault.startMillis() + fault.durationMillis() < RUN_MILLIS, fault.toString());
        }
    }
}
