package io.lagoonseam.standin.worker;

/**
 * What a worker is like.
 *
 * @param id its id
 * @param slots the requests that run at the same time
 * @param queue the requests that wait
 * @param workMillis the time of one plain request
 * @param stepMillis the time of one step of the batch, 0 for a plain service
 * @param tokensPerStep the prompt tokens that are read in one step
 * @param memoryTokens the tokens of running requests and cached parts together
 * @param tokensPerEvent the tokens of one event of a stream
 */
public record WorkerOptions(
        String id,
        int slots,
        int queue,
        long workMillis,
        long stepMillis,
        int tokensPerStep,
        int memoryTokens,
        int tokensPerEvent) {

    /**
     * Creates the options of a plain service's worker.
     *
     * @param id its id
     * @return six slots and 10 ms for a request
     */
    public static WorkerOptions plain(String id) {
        return new WorkerOptions(id, 6, 24, 10, 0, 0, 0, 0);
    }

    /**
     * Creates the options of a model engine.
     *
     * @param id its id
     * @return 16 slots, 500 prompt tokens in a step of 4 ms
     */
    public static WorkerOptions engine(String id) {
        return new WorkerOptions(id, 16, 32, 0, 4, 500, 60_000, 4);
    }

    /**
     * Returns whether this is a model engine.
     *
     * @return true if it works in steps
     */
    public boolean isEngine() {
        return stepMillis > 0;
    }
}
