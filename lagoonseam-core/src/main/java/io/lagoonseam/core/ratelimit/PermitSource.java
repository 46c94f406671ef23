package io.lagoonseam.core.ratelimit;

/** Provides the permits that sending to workers requires. */
public interface PermitSource {

    /** Treats all workers as workers without a limit. */
    PermitSource UNLIMITED = new PermitSource() {
        @Override
        public boolean available(WorkerIncarnation worker, int priority) {
            return true;
        }

        @Override
        public Permit take(WorkerIncarnation worker) {
            return Permit.UNLIMITED;
        }

        @Override
        public double limitPerSecond(WorkerIncarnation worker) {
            return Double.POSITIVE_INFINITY;
        }
    };

    /**
     * Returns whether a request may be sent to a worker now. If not, a permit is asked for, which may arrive later.
     *
     * @param worker the worker
     * @param priority the priority of the request; 0 is the most urgent
     * @return whether {@link #take} returns a valid permit
     */
    boolean available(WorkerIncarnation worker, int priority);

    /**
     * Takes the permit to send one request.
     *
     * @param worker the worker
     * @return the permit; {@link Permit#NONE} if none is available
     */
    Permit take(WorkerIncarnation worker);

    /**
     * Returns the limit of a worker.
     *
     * @param worker the worker
     * @return the requests per second that it accepts from all nodes together; infinite without a limit
     */
    double limitPerSecond(WorkerIncarnation worker);
}
