package io.lagoonseam.core.forward;

/**
 * Decides what a request has to gain at a worker in another data centre. Answers data centres whose own workers are too
 * few for a time, while traffic between them is slow and costs money: each request that would gain less stays, so that
 * no more leave than the near workers cannot serve as well, and two data centres do not trade places.
 *
 * <p>In force where a home decides, which knows what each worker has in flight.
 */
final class ZoneToll {

    /** The way to a worker in another data centre and back, in milliseconds. */
    private static final double WAY_MILLIS = 3;

    /** What leaving has to gain besides, as a share of the objective: traffic between data centres costs money. */
    private static final double PRICE_SHARE = 0.03;

    /**
     * What leaving has to gain at a worker whose slots are all taken, as a share of the objective: the place is taken
     * from callers who are near to it.
     */
    private static final double CROWDING_SHARE = 0.06;

    /** By how much a plain worker in another data centre has to be less loaded, as a share of its slots. */
    private static final double LOAD_SHARE = 0.2;

    private ZoneToll() {}

    private static boolean stays(ChoiceRequest request, UpstreamState worker) {
        return request.homePriority().isEmpty()
                || request.dataCentre().isEmpty()
                || request.dataCentre().equals(worker.record().dataCentre());
    }

    /**
     * Returns the time that a request has to gain at a worker.
     *
     * @param request the request
     * @param worker the worker
     * @return the time in milliseconds; 0 if the worker is in the data centre of the node, or a node decides
     */
    static double millis(ChoiceRequest request, UpstreamState worker) {
        if (stays(request, worker)) {
            return 0;
        }
        double taken = (double) worker.inFlight(request.nowMillis())
                / Math.max(1, worker.record().slots());
        return WAY_MILLIS + (PRICE_SHARE + CROWDING_SHARE * Math.min(1, taken)) * request.objectiveMillis();
    }

    /**
     * Returns by how much a plain worker has to be less loaded than one in the data centre of the node.
     *
     * @param request the request
     * @param worker the worker
     * @return a share of its slots; 0 if the worker is in the data centre of the node, or a node decides
     */
    static double load(ChoiceRequest request, UpstreamState worker) {
        return stays(request, worker) ? 0 : LOAD_SHARE;
    }

    /**
     * Returns whether a worker in another data centre comes after the near ones, whatever prefix of the request it
     * holds: reading the prefix once more takes less than leaving has to gain.
     *
     * @param request the request
     * @param worker the worker
     * @return false if the worker is in the data centre of the node, or a node decides
     */
    static boolean comesLast(ChoiceRequest request, UpstreamState worker) {
        return !stays(request, worker)
                && worker.firstEventTime().readingMillis(request.prompt().prefixTokens())
                        <= WAY_MILLIS + PRICE_SHARE * request.objectiveMillis();
    }
}
