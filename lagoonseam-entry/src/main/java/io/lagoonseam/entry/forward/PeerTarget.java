package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptResult;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.wire.DetourMessages.Outcome;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Another node that one attempt of a request goes through. It decides about workers, so that nothing is learnt of them.
 */
final class PeerTarget implements AttemptTarget {

    private final String id;
    private final WorkerConnections connections;
    private final Runnable onFailed;
    private Optional<Outcome> outcome = Optional.empty();

    /**
     * Creates a target.
     *
     * @param id the id of the node
     * @param connections the connections to it
     * @param onFailed called if the attempt fails
     */
    PeerTarget(String id, WorkerConnections connections, Runnable onFailed) {
        this.id = id;
        this.connections = connections;
        this.onFailed = onFailed;
    }

    @Override
    public String name() {
        return id;
    }

    @Override
    public Optional<WorkerConnections> connections() {
        return Optional.of(connections);
    }

    @Override
    public boolean isWorker() {
        return false;
    }

    @Override
    public Optional<Outcome> told() {
        return outcome;
    }

    @Override
    public void starting() {
        // the node counts it at the worker that it chooses
    }

    @Override
    public void onConnecting() {
        // says nothing about workers
    }

    @Override
    public void onConnected() {
        // says nothing about workers
    }

    @Override
    public boolean maySend() {
        return true;
    }

    /** Returns empty, since the node itself watches the worker. */
    @Override
    public OptionalDouble expectedMillis() {
        return OptionalDouble.empty();
    }

    @Override
    public void onHeaders(UpstreamResponseHeaders received, Optional<Outcome> told, long sentMillis) {
        outcome = told;
    }

    @Override
    public void onBody() {
        // says nothing about workers
    }

    @Override
    public boolean readsPrompt() {
        return false;
    }

    @Override
    public void began(String workspace, long agoMillis) {
        // the node that sends it to a worker counts it
    }

    @Override
    public void onFirstEvent(long afterMillis) {
        // the node reports it
    }

    @Override
    public String softwareVersion() {
        return outcome.map(Outcome::softwareVersion).orElse("");
    }

    @Override
    public boolean mayGoOnElsewhere(String version) {
        return true;
    }

    @Override
    public void onSilence(long sinceMillis) {
        onFailed.run();
    }

    @Override
    public void observe(OutlierDetector.Outcome observed) {
        // the node reports it
    }

    @Override
    public void observeFailure(AttemptResult result) {
        onFailed.run();
    }

    @Override
    public void ended() {
        // the node reports it
    }
}
