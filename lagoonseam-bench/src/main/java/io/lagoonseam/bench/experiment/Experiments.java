package io.lagoonseam.bench.experiment;

import io.lagoonseam.bench.chaos.ChaosExperiment;
import io.lagoonseam.bench.cost.EntryCostExperiment;
import io.lagoonseam.bench.cost.ForwardCostExperiment;
import io.lagoonseam.bench.cost.IdleCostExperiment;
import io.lagoonseam.bench.cost.RouterCostExperiment;
import io.lagoonseam.bench.experiment.burst.BurstExperiment;
import io.lagoonseam.bench.experiment.decision.DecisionCostExperiment;
import io.lagoonseam.bench.experiment.fault.FaultExperiment;
import io.lagoonseam.bench.experiment.placement.PlacementExperiment;
import io.lagoonseam.bench.experiment.routing.RoutingExperiment;
import io.lagoonseam.bench.membership.MembershipExperiment;
import io.lagoonseam.bench.membership.RollingExperiment;
import io.lagoonseam.bench.operation.DuplicatesExperiment;
import io.lagoonseam.bench.operation.OutageExperiment;
import io.lagoonseam.bench.propagation.PropagationExperiment;
import io.lagoonseam.bench.soak.SoakExperiment;
import java.util.List;
import java.util.Optional;

/** The registry of all experiments. */
public final class Experiments {

    private static final List<Experiment> ALL = List.of(
            new BurstExperiment(),
            new ChaosExperiment(),
            new DecisionCostExperiment(),
            new DuplicatesExperiment(),
            new EntryCostExperiment(),
            FaultExperiment.crash(),
            FaultExperiment.crossed(),
            FaultExperiment.silent(),
            FaultExperiment.straggler(),
            new ForwardCostExperiment(),
            new IdleCostExperiment(),
            new MembershipExperiment(),
            new OutageExperiment(),
            new PlacementExperiment(),
            new PropagationExperiment(),
            new RollingExperiment(),
            new RouterCostExperiment(),
            new RoutingExperiment(),
            new SoakExperiment());

    private Experiments() {}

    /**
     * Returns all experiments.
     *
     * @return the experiments in the order in which the help lists them
     */
    public static List<Experiment> all() {
        return ALL;
    }

    /**
     * Finds an experiment by name.
     *
     * @param name the name of the experiment
     * @return the experiment, or empty if no experiment has that name
     */
    public static Optional<Experiment> find(String name) {
        return ALL.stream().filter(experiment -> experiment.name().equals(name)).findFirst();
    }
}
