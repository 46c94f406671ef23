package io.lagoonseam.entry.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.verdict.Refusal;
import java.util.Optional;
import org.testng.annotations.Test;

public final class RouterMetricsTest {

    private static final RequestClass AFTERCARE =
            new RequestClass("aftercare", "care-llm", "level", Tier.URGENT, true, Optional.empty(), Optional.empty());
    private static final ServiceLevel LEVEL = new ServiceLevel("level", 800, 27, 5_000, 10_000, 10, 10);

    private final MetricRegistry registry = new MetricRegistry();
    private final RouterMetrics metrics = new RouterMetrics(registry);

    private static Ticket ticket(String workspace) {
        return new Ticket("id", workspace, AFTERCARE, LEVEL, 0, 5_000);
    }

    @Test
    public void countsByClassWorkspaceAndWorker() {
        metrics.answered(new AnswerMeasurements(AFTERCARE, "regina", "engine-1", LEVEL, 900, 2_000, 40));
        metrics.answered(new AnswerMeasurements(AFTERCARE, "regina", "engine-1", LEVEL, 100, 900, 40));
        for (String prefix : new String[] {"class.aftercare", "workspace.regina", "worker.engine-1"}) {
            assertEquals(registry.counter(prefix + ".answered").getCount(), 2, prefix);
            assertEquals(registry.counter(prefix + ".attained").getCount(), 1, prefix);
            assertEquals(registry.counter(prefix + ".tokens").getCount(), 80, prefix);
        }
    }

    @Test
    public void countsRefusalsWithReason() {
        metrics.refused(
                ticket("edmonton"),
                Refusal.builder(EventCode.SHED_FOR_HIGHER_TIER, 503).build());
        assertEquals(registry.counter("class.aftercare.refused.not_run.303").getCount(), 1);
        assertEquals(registry.counter("workspace.edmonton.refused.not_run.303").getCount(), 1);
    }

    @Test
    public void keepsTheLongestWait() {
        metrics.started(ticket("brandon"), "engine-1", 120);
        metrics.started(ticket("brandon"), "engine-1", 40);
        assertEquals(RouterMetrics.longestWaitMillis(registry, "aftercare"), 120);
        assertEquals(RouterMetrics.longestWaitMillis(registry, "unknown"), 0);
    }

    @Test
    public void boundsTheNumberOfWorkspaces() {
        MetricRegistry own = new MetricRegistry();
        RouterMetrics many = new RouterMetrics(own);
        for (int number = 0; number < 15_000; number++) {
            many.wasted(ticket("studio-" + number), "callerGone", 2);
        }
        long names = own.getNames().stream()
                .filter(name -> name.startsWith("workspace."))
                .count();
        assertTrue(names <= 201, names + " names");
        assertEquals(own.counter("workspace.other.wasted.callerGone").getCount(), 2 * (15_000 - 200));
        assertEquals(own.counter("class.aftercare.wasted.callerGone").getCount(), 30_000);
        assertEquals(own.counter("wasted.tokens.callerGone").getCount(), 30_000);
    }
}
