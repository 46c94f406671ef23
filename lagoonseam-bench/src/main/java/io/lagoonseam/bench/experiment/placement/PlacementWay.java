package io.lagoonseam.bench.experiment.placement;

import java.util.List;

/** A way to place the requests of all nodes. */
interface PlacementWay {

    /** Carries out decisions. */
    interface Actions {

        /** Sends a request to a worker, which may copy a prefix from another one; -1 for none. */
        void send(ModelRequest request, int worker, int copyFrom, long atMillis);

        /** Refuses a request with a backlog that is 0 if unknown. */
        void refuse(ModelRequest request, long backlogMillis);
    }

    /** Takes a request that its node has received. */
    void submit(ModelRequest request, long nowMillis);

    /** Called every millisecond. */
    void tick(long nowMillis);

    /** A worker has sent the first event of a request, and reports its load. */
    void onFirstEvent(ModelRequest request, int worker, int running, int waiting, long nowMillis);

    /** A request has ended at a worker; null for an outcome that says nothing about the worker. */
    void onEnd(ModelRequest request, int worker, boolean failed, long nowMillis);

    /** The workers that accept requests have changed. */
    void workers(List<Integer> serving, long nowMillis);

    /** The home, if there is one, has died. */
    default void killHome(long nowMillis) {
        // there is no home
    }

    /** Returns the number of messages between nodes. */
    long messages();
}
