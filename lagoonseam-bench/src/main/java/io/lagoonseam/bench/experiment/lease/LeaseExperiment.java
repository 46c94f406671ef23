package io.lagoonseam.bench.experiment.lease;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;

/** Counts orders of two holders that interleave on one engine, with engines that check fencing numbers and without. */
public final class LeaseExperiment implements Experiment {

    private static final long RUN_MILLIS = 17_000;

    @Override
    public String name() {
        return "lease";
    }

    @Override
    public String summary() {
        return "Orders of two lease holders that interleave on one engine, under pauses, outages and late orders";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws Exception {
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        StringBuilder report = new StringBuilder("# Placement leases under faults\n\n"
                + "| engines | takeovers | orders taken | fenced | sent after a pause | interleaved |\n"
                + "|---|---|---|---|---|---|\n");
        long interleaved = 0;
        for (boolean checksFencing : new boolean[] {true, false}) {
            String label = checksFencing ? "check" : "ignore";
            context.progress().println("engines that " + label + " fencing numbers");
            try (LeaseRun run = new LeaseRun(checksFencing, context.seed())) {
                LeaseRun.Outcome outcome = run.run(RUN_MILLIS);
                interleaved += outcome.interleavedOrders();
                fields.set(label, toJson(outcome));
                report.append(row(label, outcome));
            }
        }
        fields.put("interleavedOrders", interleaved);
        return new ExperimentResult(fields, report.toString(), interleaved);
    }

    private static ObjectNode toJson(LeaseRun.Outcome outcome) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("takeovers", outcome.takeovers())
                .put("ordersTaken", outcome.ordersTaken())
                .put("ordersFenced", outcome.ordersFenced())
                .put("ordersSentLate", outcome.ordersSentLate())
                .put("pauses", outcome.pauses())
                .put("outages", outcome.outages())
                .put("interleavedOrders", outcome.interleavedOrders());
    }

    private static String row(String label, LeaseRun.Outcome outcome) {
        return "| " + label + " | " + outcome.takeovers() + " | " + outcome.ordersTaken() + " | "
                + outcome.ordersFenced() + " | " + outcome.ordersSentLate() + " | " + outcome.interleavedOrders()
                + " |\n";
    }
}
