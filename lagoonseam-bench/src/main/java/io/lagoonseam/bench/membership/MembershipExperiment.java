package io.lagoonseam.bench.membership;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Measures the detection of members and the cost of membership per node in one data centre of 6, 30 and 120 real peer
 * layers on the loopback interface: times in milliseconds until all nodes know a start, a crash and an announced leave,
 * bytes per second, share of a core and heap in megabytes. Estimates the cost at the design size of 66 members and
 * compares it with the targets.
 */
public final class MembershipExperiment implements Experiment {

    private static final int WARM_UP_MEMBERS = 10;
    private static final int[] MEMBER_COUNTS = {6, 30, 120};
    private static final int DESIGN_MEMBERS = 66;
    private static final double TARGET_BYTES_PER_SECOND = 11_000;
    private static final double TARGET_CORE_SHARE = 0.012;
    private static final double TARGET_HEAP_MEGABYTES = 32;

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public String summary() {
        return "Detection time, bytes/s, processor time and heap of membership per node at 6, 30 and 120 members";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws InterruptedException {
        double idleCoreShare = MemberFleet.coreShareWhileIdle();
        MemberFleet.warmUp(WARM_UP_MEMBERS, context.seed());
        List<MembershipFigures> figures = new ArrayList<>();
        for (int size : MEMBER_COUNTS) {
            figures.add(MemberFleet.measure(size, context.seed()));
            context.progress().println(size + " members: " + figures.get(figures.size() - 1));
        }
        return result(figures, idleCoreShare);
    }

    private static ExperimentResult result(List<MembershipFigures> figures, double idleCoreShare) {
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        fields.put("idleCoreShare", idleCoreShare);
        ArrayNode sizes = fields.putArray("sizes");
        long violations = 0;
        StringBuilder report = new StringBuilder("| members | all known ms | dead found ms | leave known ms |"
                + " bytes/s | core share | heap MB | false deaths |\n|---|---|---|---|---|---|---|---|\n");
        for (MembershipFigures measured : figures) {
            violations += measured.violations();
            sizes.add(measured.toJson());
            report.append(measured.toRow());
        }
        ObjectNode design = fields.putObject("atDesignSize");
        double bytes = estimateAtDesignSize(figures, MembershipFigures::bytesPerSecond);
        double core = estimateAtDesignSize(figures, MembershipFigures::coreShare);
        double heap = estimateAtDesignSize(figures, MembershipFigures::heapMegabytes);
        design.put("membersPerDataCentre", DESIGN_MEMBERS);
        design.put("bytesPerSecond", bytes).put("coreShare", core).put("heapMegabytes", heap);
        design.put("bytesTargetMet", bytes <= TARGET_BYTES_PER_SECOND);
        design.put("coreTargetMet", core <= TARGET_CORE_SHARE);
        design.put("heapTargetMet", heap <= TARGET_HEAP_MEGABYTES);
        report.append(String.format(
                Locale.ROOT,
                "%nAt %d members a data centre by the slope: %.0f bytes/s (target %.0f), %.4f of a core (target %.4f),"
                        + " %.2f MB (target %.0f). Idle process in the same run: %.4f of a core.%n",
                DESIGN_MEMBERS,
                bytes,
                TARGET_BYTES_PER_SECOND,
                core,
                TARGET_CORE_SHARE,
                heap,
                TARGET_HEAP_MEGABYTES,
                idleCoreShare));
        fields.put("invariantViolations", violations);
        return new ExperimentResult(fields, report.toString(), violations);
    }

    /**
     * Fits the total cost of the data centre to its size by least squares and returns the cost per node at the design
     * size.
     */
    private static double estimateAtDesignSize(
            List<MembershipFigures> figures, ToDoubleFunction<MembershipFigures> perNode) {
        double meanSize = figures.stream()
                .mapToDouble(MembershipFigures::members)
                .average()
                .orElse(0);
        double meanTotal = figures.stream()
                .mapToDouble(measured -> total(measured, perNode))
                .average()
                .orElse(0);
        double covariance = 0;
        double variance = 0;
        for (MembershipFigures measured : figures) {
            double distance = measured.members() - meanSize;
            covariance += distance * (total(measured, perNode) - meanTotal);
            variance += distance * distance;
        }
        double slope = covariance / variance;
        return (meanTotal + slope * (DESIGN_MEMBERS - meanSize)) / DESIGN_MEMBERS;
    }

    private static double total(MembershipFigures measured, ToDoubleFunction<MembershipFigures> perNode) {
        return measured.members() * perNode.applyAsDouble(measured);
    }
}
