package io.lagoonseam.core.forward;

/**
 * What a worker tells of its load with an answer.
 *
 * @param running requests that have had their first token
 * @param waiting requests that have not: a model engine reads their prompts or has not begun to
 */
public record WorkerLoad(int running, int waiting) {

    /** No requests. */
    public static final WorkerLoad NONE = new WorkerLoad(0, 0);

    /**
     * Returns all requests there.
     *
     * @return a count
     */
    public int requests() {
        return running + waiting;
    }
}
