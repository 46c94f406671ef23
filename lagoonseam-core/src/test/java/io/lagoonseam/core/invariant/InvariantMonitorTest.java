package io.lagoonseam.core.invariant;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.core.audit.EventCode;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public final class InvariantMonitorTest {

    @Test
    public void reportsOnlyViolations() {
        List<EventCode> reported = new ArrayList<>();
        InvariantMonitor monitor = new InvariantMonitor((code, detail) -> reported.add(code));
        monitor.check(Invariant.AT_MOST_ONCE, true, "fine");
        assertEquals(monitor.totalViolations(), 0);
        monitor.check(Invariant.AT_MOST_ONCE, false, "twice");
        assertEquals(monitor.violations(Invariant.AT_MOST_ONCE), 1);
        assertEquals(reported, List.of(EventCode.INVARIANT_VIOLATED));
    }
}
