package io.lagoonseam.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** What happened in a soak, as callers and the operator saw it. Thread-safe. */
final class SoakLog {

    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Queue<NodeEvent> nodeEvents = new ConcurrentLinkedQueue<>();
    private final Queue<LimitChange> limitChanges = new ConcurrentLinkedQueue<>();
    private final Queue<StreamTry> streamTries = new ConcurrentLinkedQueue<>();
    private final Queue<ConfigurationChange> configurationChanges = new ConcurrentLinkedQueue<>();
    private final Queue<Probe> probes = new ConcurrentLinkedQueue<>();
    private final Queue<StoreOutage> storeOutages = new ConcurrentLinkedQueue<>();
    private final Queue<Drain> drains = new ConcurrentLinkedQueue<>();
    private final Queue<CrashTry> crashTries = new ConcurrentLinkedQueue<>();

    /** What became of a call. */
    enum Outcome {
        /** A complete answer. */
        ANSWERED,
        /** The connection ended without a complete answer. */
        CUT,
        /** The first request on a connection ended without any answer, as on a connection that was never accepted. */
        CUT_FRESH
    }

    /**
     * One request of a caller.
     *
     * @param id the id
     * @param kind the first part of the path
     * @param node the index of the node
     * @param sentMillis when it was sent
     * @param endedMillis when the answer was complete, or the connection ended
     * @param outcome what became of it
     * @param status the status, 0 without an answer
     * @param limitedBy the worker that named a limit in the answer, empty if none did
     * @param body the body
     */
    record Call(
            String id,
            String kind,
            int node,
            long sentMillis,
            long endedMillis,
            Outcome outcome,
            int status,
            String limitedBy,
            String body) {}

    /** What the operator did to a node. */
    enum NodeAction {
        /** A planned stop, with a start afterwards. */
        STOP(true),
        /** Settings are read again. */
        RELOAD(true),
        /** The process is killed and started again. */
        KILL(false),
        /** The process is suspended and resumed. */
        FREEZE(false);

        private final boolean planned;

        NodeAction(boolean planned) {
            this.planned = planned;
        }

        boolean planned() {
            return planned;
        }
    }

    /**
     * Something done to a node.
     *
     * @param action what was done
     * @param node the index of the node
     * @param fromMillis when it began
     * @param toMillis when the node served again
     */
    record NodeEvent(NodeAction action, int node, long fromMillis, long toMillis) {}

    /**
     * A change of the limit of a worker.
     *
     * @param worker the id of the worker
     * @param perSecond the limit, infinite if it ended
     * @param atMillis when it changed
     */
    record LimitChange(String worker, double perSecond, long atMillis) {}

    /**
     * One attempt of a caller to get a stream or the rest of it.
     *
     * @param stream identifies the stream
     * @param id the id of the request
     * @param node the index of the node
     * @param afterEvent the number of the last event that the caller had before, 0 for a stream that begins
     * @param sentMillis when it was sent
     * @param status the status, 0 if none was received
     * @param body the body as far as it was received
     */
    record StreamTry(String stream, String id, int node, int afterEvent, long sentMillis, int status, String body) {}

    /**
     * A configuration with a route of its own, which the next one does not have.
     *
     * @param number the number of its route
     * @param atMillis when the store had accepted it
     */
    record ConfigurationChange(int number, long atMillis) {}

    /**
     * A request on the route of a configuration.
     *
     * @param node the index of the node
     * @param number the number of the route
     * @param sentMillis when it was sent
     * @param endedMillis when the answer was complete
     * @param found whether the node had the route
     */
    record Probe(int node, int number, long sentMillis, long endedMillis, boolean found) {}

    /**
     * A time in which the record of a worker says that it is leaving.
     *
     * @param worker the id of the worker
     * @param fromMillis when the store had accepted that
     * @param toMillis when the worker registered as a new incarnation
     */
    record Drain(String worker, long fromMillis, long toMillis) {}

    /**
     * A time in which the store refused or ignored calls.
     *
     * @param fromMillis when it began
     * @param toMillis when it ended
     */
    record StoreOutage(long fromMillis, long toMillis) {}

    /**
     * A request that crashes engines.
     *
     * @param kind what it has in common with others
     * @param id the id of the request
     * @param node the index of the node
     * @param sentMillis when it was sent
     */
    record CrashTry(SoakCrashCaller.CrashKind kind, String id, int node, long sentMillis) {}

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    void add(Call call) {
        calls.add(call);
    }

    void add(NodeEvent event) {
        nodeEvents.add(event);
    }

    void add(LimitChange change) {
        limitChanges.add(change);
    }

    void add(StreamTry streamTry) {
        streamTries.add(streamTry);
    }

    void add(ConfigurationChange change) {
        configurationChanges.add(change);
    }

    void add(Probe probe) {
        probes.add(probe);
    }

    void add(StoreOutage outage) {
        storeOutages.add(outage);
    }

    void add(Drain drain) {
        drains.add(drain);
    }

    void add(CrashTry crashTry) {
        crashTries.add(crashTry);
    }

    List<CrashTry> crashTries() {
        return new ArrayList<>(crashTries);
    }

    List<Drain> drains() {
        return new ArrayList<>(drains);
    }

    List<ConfigurationChange> configurationChanges() {
        return new ArrayList<>(configurationChanges);
    }

    List<Probe> probes() {
        return new ArrayList<>(probes);
    }

    List<StoreOutage> storeOutages() {
        return new ArrayList<>(storeOutages);
    }

    List<StreamTry> streamTries() {
        return new ArrayList<>(streamTries);
    }

    List<Call> calls() {
        return new ArrayList<>(calls);
    }

    List<NodeEvent> nodeEvents() {
        return new ArrayList<>(nodeEvents);
    }

    List<LimitChange> limitChanges() {
        return new ArrayList<>(limitChanges);
    }
}
