package io.lagoonseam.entry.placement;

import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.WorkerLoad;

/** Receives what becomes of a request that was sent to a worker, for the home of its service. */
public interface Placement {

    /** Reports nothing: no home places the requests of the service. */
    Placement NONE = new Placement() {
        @Override
        public void firstEvent(long afterMillis) {
            // there is no home
        }

        @Override
        public void load(WorkerLoad load) {
            // there is no home
        }

        @Override
        public void outcome(OutlierDetector.Outcome outcome) {
            // there is no home
        }

        @Override
        public void ended() {
            // there is no home
        }
    };

    /**
     * Records that the prompt has been read.
     *
     * @param afterMillis the time from sending the request to its first event, in milliseconds
     */
    void firstEvent(long afterMillis);

    /**
     * Records the load that the worker reported.
     *
     * @param load the load
     */
    void load(WorkerLoad load);

    /**
     * Records the outcome of the attempt.
     *
     * @param outcome the outcome
     */
    void outcome(OutlierDetector.Outcome outcome);

    /** Records that the request needs its place no longer. Later calls of this method have no effect. */
    void ended();
}
