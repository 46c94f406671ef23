package io.lagoonseam.core.admission.internal;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.configuration.Tier;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** The queue of one request class, with fair queueing of its workspaces by expected tokens. */
public final class ClassQueue {

    private static final Comparator<WorkspaceQueue> BY_VIRTUAL_TIME =
            Comparator.comparingDouble(WorkspaceQueue::virtualTime).thenComparing(WorkspaceQueue::workspace);
    private static final Comparator<WorkspaceQueue> BY_SIZE =
            Comparator.comparingInt(WorkspaceQueue::size).thenComparing(WorkspaceQueue::workspace);
    private static final Comparator<QueueEntry> BY_EXPIRY = Comparator.<QueueEntry>comparingLong(
                    entry -> entry.ticket().expiryMillis())
            .thenComparingLong(QueueEntry::number);

    private final Tier tier;
    private final TreeMap<Long, QueueEntry> byArrival = new TreeMap<>();
    private final TreeSet<QueueEntry> byExpiry = new TreeSet<>(BY_EXPIRY);
    private final Map<String, WorkspaceQueue> workspaces = new HashMap<>();
    private final TreeSet<WorkspaceQueue> byVirtualTime = new TreeSet<>(BY_VIRTUAL_TIME);
    private final TreeSet<WorkspaceQueue> bySize = new TreeSet<>(BY_SIZE);

    /** Highest virtual time of a served workspace, in tokens; a workspace that was idle rejoins at it. */
    private double workspaceVirtualTime;

    private double classVirtualTime;
    private double queuedCost;
    private int weight = 1;
    private long longestWaitMillis;
    private long lastServedMillis;

    /**
     * Creates an empty queue.
     *
     * @param tier the tier of the class
     */
    public ClassQueue(Tier tier) {
        this.tier = tier;
    }

    /**
     * Returns the tier of the class.
     *
     * @return the tier
     */
    public Tier tier() {
        return tier;
    }

    /**
     * Returns the scheduling weight of the class.
     *
     * @return the weight in the service level of the request added last, at least 1
     */
    public int weight() {
        return weight;
    }

    /**
     * Returns the virtual time of the class, by which the scheduler orders classes.
     *
     * @return the tokens served so far, estimated or actual, divided by weight; raised to that of its tier group after
     *     the class was idle
     */
    public double virtualTime() {
        return classVirtualTime;
    }

    /**
     * Returns the cost of all waiting requests.
     *
     * @return the sum in expected tokens
     */
    public double queuedCost() {
        return queuedCost;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number of requests of all workspaces
     */
    public int size() {
        return byArrival.size();
    }

    /**
     * Returns whether the class has no waiting requests.
     *
     * @return true if the queue is empty
     */
    public boolean isEmpty() {
        return byArrival.isEmpty();
    }

    /**
     * Returns the number of workspaces with waiting requests.
     *
     * @return the number of workspaces
     */
    public int activeWorkspaces() {
        return workspaces.size();
    }

    /**
     * Returns the cost of the waiting requests of one workspace.
     *
     * @param workspace the name of the workspace
     * @return the sum in expected tokens, 0 if none of its requests is waiting
     */
    public double queuedCostOf(String workspace) {
        WorkspaceQueue queue = workspaces.get(workspace);
        return queue == null ? 0 : queue.queuedCost();
    }

    /**
     * Adds a request.
     *
     * @param entry the request
     * @param schedulerVirtualTime the minimum virtual time of a class that was idle until now
     */
    public void add(QueueEntry entry, double schedulerVirtualTime) {
        Ticket ticket = entry.ticket();
        weight = Math.max(1, ticket.serviceLevel().weight());
        longestWaitMillis = ticket.serviceLevel().longestWaitMillis();
        if (isEmpty()) {
            classVirtualTime = Math.max(classVirtualTime, schedulerVirtualTime);
            lastServedMillis = ticket.arrivalMillis();
        }
        WorkspaceQueue queue = detach(ticket.workspace());
        queue.add(entry);
        attach(queue);
        byArrival.put(entry.number(), entry);
        byExpiry.add(entry);
        queuedCost += entry.cost();
    }

    private WorkspaceQueue detach(String workspace) {
        WorkspaceQueue queue = workspaces.remove(workspace);
        if (queue == null) {
            return new WorkspaceQueue(workspace, workspaceVirtualTime);
        }
        byVirtualTime.remove(queue);
        bySize.remove(queue);
        return queue;
    }

    private void attach(WorkspaceQueue queue) {
        if (queue.size() > 0) {
            workspaces.put(queue.workspace(), queue);
            byVirtualTime.add(queue);
            bySize.add(queue);
        }
    }

    /**
     * Removes the request to serve next. The queue must not be empty.
     *
     * @param nowMillis the current monotonic time in ms
     * @return the oldest request of the workspace with the lowest virtual time
     */
    public QueueEntry poll(long nowMillis) {
        WorkspaceQueue next = byVirtualTime.first();
        QueueEntry entry = next.first();
        workspaceVirtualTime = Math.max(workspaceVirtualTime, next.virtualTime());
        detach(next.workspace());
        next.remove(entry);
        next.charge(entry.cost());
        attach(next);
        removeFromIndexes(entry);
        lastServedMillis = nowMillis;
        classVirtualTime += entry.cost() / weight;
        return entry;
    }

    private void removeFromIndexes(QueueEntry entry) {
        byArrival.remove(entry.number());
        byExpiry.remove(entry);
        queuedCost = byArrival.isEmpty() ? 0 : queuedCost - entry.cost();
    }

    /**
     * Removes a request that will not be served.
     *
     * @param entry the request
     */
    public void remove(QueueEntry entry) {
        WorkspaceQueue queue = detach(entry.ticket().workspace());
        queue.remove(entry);
        attach(queue);
        removeFromIndexes(entry);
    }

    /**
     * Charges the class and the workspace the difference between the actual and the expected cost of a started request.
     *
     * @param workspace the name of its workspace
     * @param costDifference the difference in tokens, negative if the answer is shorter than expected
     */
    public void adjustCost(String workspace, double costDifference) {
        classVirtualTime += costDifference / weight;
        WorkspaceQueue queue = workspaces.get(workspace);
        if (queue != null) {
            detach(workspace);
            queue.charge(costDifference);
            attach(queue);
        }
    }

    /**
     * Returns the newest request if it may be shed.
     *
     * @return the newest request, or empty if the queue is empty or an attempt of that request was sent before
     */
    public Optional<QueueEntry> newestSheddable() {
        return byArrival.isEmpty()
                ? Optional.empty()
                : Optional.of(byArrival.lastEntry().getValue()).filter(ClassQueue::isSheddable);
    }

    private static boolean isSheddable(QueueEntry entry) {
        return !entry.ticket().attempted();
    }

    /**
     * Returns the newest request of the workspace with the most waiting requests, if that workspace would still have
     * more than the given one after the given one has added a request.
     *
     * @param workspace the name of the workspace that adds a request
     * @return a request of another workspace that may be shed, or empty if there is none
     */
    public Optional<QueueEntry> newestOfLargestWorkspace(String workspace) {
        if (bySize.isEmpty()) {
            return Optional.empty();
        }
        WorkspaceQueue largest = bySize.last();
        WorkspaceQueue own = workspaces.get(workspace);
        int ownSize = own == null ? 0 : own.size();
        if (largest.workspace().equals(workspace) || largest.size() <= ownSize + 1) {
            return Optional.empty();
        }
        return Optional.of(largest.last()).filter(ClassQueue::isSheddable);
    }

    /**
     * Removes the requests whose expiry time has passed.
     *
     * @param nowMillis the current monotonic time in ms
     * @return the removed requests
     */
    public List<QueueEntry> expire(long nowMillis) {
        List<QueueEntry> expired = new ArrayList<>();
        while (!byExpiry.isEmpty() && byExpiry.first().ticket().expiryMillis() <= nowMillis) {
            QueueEntry entry = byExpiry.first();
            remove(entry);
            expired.add(entry);
        }
        return expired;
    }

    /**
     * Returns the time since the class was last served or began to wait, as a share of its longest wait.
     *
     * @param nowMillis the current monotonic time in ms
     * @return the share, 1 when the longest wait has elapsed
     */
    public double elapsedWaitShare(long nowMillis) {
        return (double) (nowMillis - lastServedMillis) / Math.max(1, longestWaitMillis);
    }
}
