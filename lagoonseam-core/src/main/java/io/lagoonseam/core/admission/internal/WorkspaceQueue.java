package io.lagoonseam.core.admission.internal;

import java.util.TreeMap;

/**
 * The queued requests of one workspace within a class. It must be removed from sorted sets while its sort keys, the
 * virtual time and the size, change.
 */
final class WorkspaceQueue {

    private final String workspace;
    private final TreeMap<Long, QueueEntry> entries = new TreeMap<>();
    private double virtualTime;
    private double queuedCost;

    WorkspaceQueue(String workspace, double virtualTime) {
        this.workspace = workspace;
        this.virtualTime = virtualTime;
    }

    String workspace() {
        return workspace;
    }

    double virtualTime() {
        return virtualTime;
    }

    double queuedCost() {
        return queuedCost;
    }

    int size() {
        return entries.size();
    }

    void add(QueueEntry entry) {
        entries.put(entry.number(), entry);
        queuedCost += entry.cost();
    }

    void remove(QueueEntry entry) {
        if (entries.remove(entry.number()) != null) {
            queuedCost -= entry.cost();
        }
    }

    void charge(double cost) {
        virtualTime += cost;
    }

    QueueEntry first() {
        return entries.firstEntry().getValue();
    }

    QueueEntry last() {
        return entries.lastEntry().getValue();
    }
}
