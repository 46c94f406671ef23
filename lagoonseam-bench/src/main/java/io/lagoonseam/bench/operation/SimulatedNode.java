package io.lagoonseam.bench.operation;

import io.lagoonseam.core.operation.OperationJournal;
import java.util.ArrayDeque;
import java.util.Deque;

/** An entry node as the journal sees it: it runs, is paused, or has crashed for good. */
public final class SimulatedNode {

    private final String nodeId;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private OperationJournal journal;
    private boolean paused;
    private boolean crashed;

    /**
     * Creates a node that runs.
     *
     * @param nodeId its name
     */
    public SimulatedNode(String nodeId) {
        this.nodeId = nodeId;
    }

    /**
     * Returns the name.
     *
     * @return the name
     */
    public String nodeId() {
        return nodeId;
    }

    /**
     * Sets the node's journal.
     *
     * @param value the journal
     */
    public void journal(OperationJournal value) {
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
     * Runs an action now, after a pause, or never after a crash.
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

    /** Stops the node until it is resumed. */
    public void pause() {
        paused = true;
    }

    /** Goes on with all that came during the pause. */
    public void resume() {
        paused = false;
        while (!deferred.isEmpty() && !paused) {
            deliver(deferred.poll());
        }
    }

    /** Ends the node. */
    public void crash() {
        crashed = true;
        deferred.clear();
    }

    /**
     * Returns whether the node answers.
     *
     * @return true unless it is paused or has crashed
     */
    public boolean isRunning() {
        return !paused && !crashed;
    }

    /**
     * Returns whether the node has ended.
     *
     * @return true after a crash
     */
    public boolean hasCrashed() {
        return crashed;
    }
}
