package io.lagoonseam.bench.experiment.placement;

/**
 * The speed and the room of a model engine.
 *
 * @param slots the requests that run at once
 * @param queue the requests that may wait
 * @param kvTokens its memory, in tokens
 * @param stepMillis what a step takes without requests, in milliseconds
 * @param stepMillisPerRequest what each running request adds to a step, in milliseconds
 * @param tokensPerMilli the prompt tokens that it reads in a millisecond
 * @param chunkTokens the prompt tokens that it reads in a step
 * @param eventTokens the tokens of an event of a stream
 */
record EngineSpec(
        int slots,
        int queue,
        long kvTokens,
        double stepMillis,
        double stepMillisPerRequest,
        double tokensPerMilli,
        int chunkTokens,
        int eventTokens) {

    /** A fast engine with few slots. */
    static final EngineSpec FEW_SLOTS = new EngineSpec(12, 25, 770_904, 3.55, 0.0462, 157, 4_096, 4);

    /** An engine with many slots, whose running streams are slow while it reads prompts. */
    static final EngineSpec MANY_SLOTS = new EngineSpec(64, 192, 300_919, 3.09, 0.102, 56.9, 2_048, 7);
}
