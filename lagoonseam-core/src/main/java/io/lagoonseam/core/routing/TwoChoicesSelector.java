package io.lagoonseam.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Takes the less loaded of two workers chosen at random among those with room. */
public final class TwoChoicesSelector implements WorkerSelector {

    /** The age at which a load report counts half. */
    private static final double REPORT_HALF_LIFE_MILLIS = 500;

    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param random the source of choices
     */
    public TwoChoicesSelector(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<WorkerState> select(List<WorkerState> workers) {
        List<WorkerState> open = workers.stream().filter(WorkerState::hasRoom).toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        WorkerState first = open.get(random.nextInt(open.size()));
        WorkerState second = open.get(random.nextInt(open.size()));
        return Optional.of(load(first) <= load(second) ? first : second);
    }

    private static double load(WorkerState worker) {
        double trust = Math.pow(0.5, worker.reportAgeMillis() / REPORT_HALF_LIFE_MILLIS);
        return worker.inFlight() + trust * worker.reportedWaiting();
    }
}
