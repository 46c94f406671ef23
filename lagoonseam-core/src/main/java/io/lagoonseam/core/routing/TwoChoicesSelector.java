package io.lagoonseam.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects the less loaded of two workers drawn at random from those with a free slot (power of two choices). */
public final class TwoChoicesSelector implements WorkerSelector {

    /** Age in milliseconds at which the weight of a load report has dropped to one half. */
    private static final double REPORT_HALF_LIFE_MILLIS = 500;

    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param random the source of random numbers
     */
    public TwoChoicesSelector(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<WorkerState> select(List<WorkerState> workers) {
        List<WorkerState> available =
                workers.stream().filter(WorkerState::hasRoom).toList();
        if (available.isEmpty()) {
            return Optional.empty();
        }
        WorkerState first = available.get(random.nextInt(available.size()));
        WorkerState second = available.get(random.nextInt(available.size()));
        return Optional.of(load(first) <= load(second) ? first : second);
    }

    private static double load(WorkerState worker) {
        double reportWeight = Math.pow(0.5, worker.reportAgeMillis() / REPORT_HALF_LIFE_MILLIS);
        return worker.inFlight() + reportWeight * worker.reportedWaiting();
    }
}
