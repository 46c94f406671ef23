package io.lagoonseam.core.forward;

/**
 * The load report that a worker sends with an answer.
 *
 * @param running the number of requests that have had their first token
 * @param waiting the number of other requests; they are queued, or a model engine is reading their prompts
 */
public record WorkerLoad(int running, int waiting) {

    /** A load report without requests. */
    public static final WorkerLoad NONE = new WorkerLoad(0, 0);

    /**
     * Returns the number of all requests at the worker.
     *
     * @return the number of requests
     */
    public int requests() {
        return running + waiting;
    }
}
