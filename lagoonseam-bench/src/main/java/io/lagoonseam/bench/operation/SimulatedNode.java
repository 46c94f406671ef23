package io.lagoonseam.bench.operation;

import io.lagoonseam.core.operation.OperationJournal;
import java.util.ArrayDeque;
import java.util.Deque;

/** Simulates an entry node with a journal. The node runs, is paused, or has crashed and cannot be resumed. */
public final class SimulatedNode {

    private final String nodeId;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private OperationJournal journal;
    private boolean paused;
    private boolean crashed;

    /**
     * Creates a running node.
     *
     * @param nodeId the id of the node
     */
    public SimulatedNode(String nodeId) {
        this.nodeId = nodeId;
    }

    /**
     * Returns the id of the node.
     *
     * @return the id
     */
    public String nodeId() {
        return nodeId;
    }

    /**
     * Sets the node's journal.
     *
     * @param value the journal
     */
    public void setJournal(OperationJournal value) {
        journal = value;
    }

    /**
     * Returns the node's journal.
     *
     * @return the journal
     */
    public OperationJournal journal() {
        return journal;
    }

    /**
     * Runs an action at once, or when the node is resumed if it is paused. Drops the action if the node has crashed.
     *
     * @param action the action
     */
    public void deliver(Runnable action) {
        if (crashed) {
            return;
        }
        if (paused) {
            deferred.add(action);
        } else {
            action.run();
        }
    }

    /** Pauses the node until it is resumed. */
    public void pause() {
        paused = true;
    }

    /** Resumes the node and runs the actions deferred during the pause, in order of delivery. */
    public void resume() {
        paused = false;
        while (!deferred.isEmpty() && !paused) {
            deliver(deferred.poll());
        }
    }

    /** Crashes the node and drops its deferred actions. */
    public void crash() {
        crashed = true;
        deferred.clear();
    }

    /**
     * Returns whether the node runs.
     *
     * @return false if it is paused or has crashed
     */
    public boolean isRunning() {
        return !paused && !crashed;
    }

    /**
     * Returns whether the node has crashed.
     *
     * @return true after a crash
     */
    public boolean hasCrashed() {
        return crashed;
    }
}
