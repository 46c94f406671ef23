package io.lagoonseam.standin.worker;

/**
 * Configures the capacity and speed of a {@link WorkerStandIn}.
 *
 * @param id the instance id of the worker
 * @param slots the maximum number of requests that run concurrently
 * @param queueCapacity the maximum number of requests that wait for a slot
 * @param requestMillis the duration of one request of a plain service, in milliseconds
 * @param stepMillis the duration of one step of the batch in milliseconds, or 0 for a plain service
 * @param tokensPerStep the maximum number of prompt tokens processed in one step
 * @param kvCapacityTokens the maximum number of tokens of running requests and cached prefix segments together
 * @param tokensPerEvent the number of generated tokens per event of a stream
 */
public record WorkerOptions(
        String id,
        int slots,
        int queueCapacity,
        long requestMillis,
        long stepMillis,
        int tokensPerStep,
        int kvCapacityTokens,
        int tokensPerEvent) {

    /**
     * Creates the options of a worker of a plain service.
     *
     * @param id the instance id of the worker
     * @return options with six slots, a queue of 24 and 10 ms per request
     */
    public static WorkerOptions plain(String id) {
        return new WorkerOptions(id, 6, 24, 10, 0, 0, 0, 0);
    }

    /**
     * Creates the options of a model engine.
     *
     * @param id the instance id of the engine
     * @return options with 16 slots, a queue of 32 and 500 prompt tokens per step of 4 ms
     */
    public static WorkerOptions engine(String id) {
        return new WorkerOptions(id, 16, 32, 0, 4, 500, 60_000, 4);
    }

    /**
     * Returns whether the worker is a model engine.
     *
     * @return true for a model engine, false for a plain service
     */
    public boolean isEngine() {
        return stepMillis > 0;
    }
}
