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

/** The queue of one class: a queue for each workspace, served so that each gets the same share of expected tokens. */
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
    private double servedVirtualTime;
    private double classVirtualTime;
    private double queuedCost;
    private int weight = 1;
    private long longestWaitMillis;
    private long lastServedMillis;

    /**
     * Creates an empty queue.
     *
     * @param tier the tier of its class
     */
    public ClassQueue(Tier tier) {
        this.tier = tier;
    }

    /**
     * Returns the tier.
     *
     * @return the tier of the class
     */
    public Tier tier() {
        return tier;
    }

    /**
     * Returns the weight.
     *
     * @return the weight that the latest request brought
     */
    public int weight() {
        return weight;
    }

    /**
     * Returns the place of the class among others.
     *
     * @return the expected tokens served so far, divided by weight
     */
    public double virtualTime() {
        return classVirtualTime;
    }

    /**
     * Returns the waiting work.
     *
     * @return expected tokens
     */
    public double queuedCost() {
        return queuedCost;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return requests
     */
    public int size() {
        return byArrival.size();
    }

    /**
     * Returns whether nothing waits.
     *
     * @return true if so
     */
    public boolean isEmpty() {
        return byArrival.isEmpty();
    }

    /**
     * Returns the number of workspaces with waiting requests.
     *
     * @return workspaces
     */
    public int activeWorkspaces() {
        return workspaces.size();
    }

    /**
     * Returns the waiting work of one workspace.
     *
     * @param workspace the workspace
     * @return expected tokens
     */
    public double queuedCostOf(String workspace) {
        WorkspaceQueue queue = workspaces.get(workspace);
        return queue == null ? 0 : queue.queuedCost();
    }

    /**
     * Adds a request.
     *
     * @param entry the request
     * @param othersVirtualTime the place that a class which was idle takes among others
     */
    public void add(QueueEntry entry, double othersVirtualTime) {
        Ticket ticket = entry.ticket();
        weight = Math.max(1, ticket.serviceLevel().weight());
        longestWaitMillis = ticket.serviceLevel().longestWaitMillis();
        if (isEmpty()) {
            classVirtualTime = Math.max(classVirtualTime, othersVirtualTime);
            lastServedMillis = ticket.arrivalMillis();
        }
        WorkspaceQueue queue = takeOut(ticket.workspace());
        queue.add(entry);
        putBack(queue);
        byArrival.put(entry.number(), entry);
        byExpiry.add(entry);
        queuedCost += entry.cost();
    }

    private WorkspaceQueue takeOut(String workspace) {
        WorkspaceQueue queue = workspaces.remove(workspace);
        if (queue == null) {
            return new WorkspaceQueue(workspace, servedVirtualTime);
        }
        byVirtualTime.remove(queue);
        bySize.remove(queue);
        return queue;
    }

    private void putBack(WorkspaceQueue queue) {
        if (queue.size() > 0) {
            workspaces.put(queue.workspace(), queue);
            byVirtualTime.add(queue);
            bySize.add(queue);
        }
    }

    /**
     * Removes the request to serve next.
     *
     * @param nowMillis the monotonic time
     * @return the oldest request of the workspace that has got least; there must be one
     */
    public QueueEntry poll(long nowMillis) {
        WorkspaceQueue next = byVirtualTime.first();
        QueueEntry entry = next.first();
        servedVirtualTime = Math.max(servedVirtualTime, next.virtualTime());
        takeOut(next.workspace());
        next.remove(entry);
        next.charge(entry.cost());
        putBack(next);
        forget(entry);
        lastServedMillis = nowMillis;
        classVirtualTime += entry.cost() / weight;
        return entry;
    }

    private void forget(QueueEntry entry) {
        byArrival.remove(entry.number());
        byExpiry.remove(entry);
        queuedCost = byArrival.isEmpty() ? 0 : queuedCost - entry.cost();
    }

    /**
     * Removes a request that is not served.
     *
     * @param entry the request
     */
    public void remove(QueueEntry entry) {
        WorkspaceQueue queue = takeOut(entry.ticket().workspace());
        queue.remove(entry);
        putBack(queue);
        forget(entry);
    }

    /**
     * Charges the difference between what a started request was expected to cost and what it costs.
     *
     * @param workspace its workspace
     * @param costDifference tokens, negative if it was shorter
     */
    public void correct(String workspace, double costDifference) {
        classVirtualTime += costDifference / weight;
        WorkspaceQueue queue = workspaces.get(workspace);
        if (queue != null) {
            takeOut(workspace);
            queue.charge(costDifference);
            putBack(queue);
        }
    }

    /**
     * Finds the newest request that may lose its place.
     *
     * @return the newest request that was not begun
     */
    public Optional<QueueEntry> newest() {
        return byArrival.isEmpty()
                ? Optional.empty()
                : Optional.of(byArrival.lastEntry().getValue()).filter(ClassQueue::mayBeShed);
    }

    private static boolean mayBeShed(QueueEntry entry) {
        return !entry.ticket().begun();
    }

    /**
     * Finds the newest request of the workspace that holds most places, if it holds more than another one would with
     * one more.
     *
     * @param workspace the workspace that wants a place
     * @return a request of another workspace
     */
    public Optional<QueueEntry> newestOfLargest(String workspace) {
        if (bySize.isEmpty()) {
            return Optional.empty();
        }
        WorkspaceQueue largest = bySize.last();
        WorkspaceQueue own = workspaces.get(workspace);
        int ownSize = own == null ? 0 : own.size();
        if (largest.workspace().equals(workspace) || largest.size() <= ownSize + 1) {
            return Optional.empty();
        }
        return Optional.of(largest.last()).filter(ClassQueue::mayBeShed);
    }

    /**
     * Removes the requests whose time is up.
     *
     * @param nowMillis the monotonic time
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
     * Returns which part of the longest wait has passed since the class was served or began to wait.
     *
     * @param nowMillis the monotonic time
     * @return 1 at the longest wait
     */
    public double usedShareOfWait(long nowMillis) {
        return (double) (nowMillis - lastServedMillis) / Math.max(1, longestWaitMillis);
    }
}
