package io.lagoonseam.core.admission.internal;

import io.lagoonseam.core.configuration.Tier;
import java.util.Collection;
import java.util.Optional;

/**
 * Selects the class to serve next. Urgent classes have strict priority; the others share the remaining starts by
 * weighted fair queueing. To prevent starvation, a class counts as aged once it has not been served for half of its
 * longest wait, and one start in 16 is reserved for aged classes.
 */
public final class ClassScheduler {

    /** One start in this many may go to an aged class before urgent classes. */
    public static final int RESERVED_START_INTERVAL = 16;

    /** Share of the longest wait without service from which a class is aged. */
    static final double AGING_THRESHOLD = 0.5;

    private int startsSinceReserved = RESERVED_START_INTERVAL;
    private double urgentVirtualTime;
    private double nonUrgentVirtualTime;

    /**
     * Selects the class to serve next.
     *
     * @param queues the queues of all classes
     * @param nowMillis the current monotonic time in ms
     * @return the queue of the selected class, which has waiting requests, or empty if no class has any
     */
    public Optional<ClassQueue> next(Collection<ClassQueue> queues, long nowMillis) {
        ClassQueue aged = null;
        ClassQueue urgent = null;
        ClassQueue nonUrgent = null;
        for (ClassQueue queue : queues) {
            if (queue.isEmpty()) {
                continue;
            }
            if (isAged(queue, nowMillis) && isMoreAged(queue, aged, nowMillis)) {
                aged = queue;
            }
            if (queue.tier() == Tier.URGENT) {
                urgent = lowerVirtualTime(queue, urgent);
            } else {
                nonUrgent = lowerVirtualTime(queue, nonUrgent);
            }
        }
        startsSinceReserved++;
        if (aged != null && startsSinceReserved >= RESERVED_START_INTERVAL) {
            startsSinceReserved = 0;
            return Optional.of(aged);
        }
        return Optional.ofNullable(urgent == null ? nonUrgent : urgent);
    }

    private static boolean isAged(ClassQueue queue, long nowMillis) {
        return queue.elapsedWaitShare(nowMillis) >= AGING_THRESHOLD;
    }

    private static boolean isMoreAged(ClassQueue queue, ClassQueue other, long nowMillis) {
        return other == null || queue.elapsedWaitShare(nowMillis) > other.elapsedWaitShare(nowMillis);
    }

    private static ClassQueue lowerVirtualTime(ClassQueue queue, ClassQueue other) {
        return other == null || queue.virtualTime() < other.virtualTime() ? queue : other;
    }

    /**
     * Advances the virtual time of the tier group to that of the class that is about to be served.
     *
     * @param queue the queue of the class
     */
    public void advanceVirtualTime(ClassQueue queue) {
        if (queue.tier() == Tier.URGENT) {
            urgentVirtualTime = Math.max(urgentVirtualTime, queue.virtualTime());
        } else {
            nonUrgentVirtualTime = Math.max(nonUrgentVirtualTime, queue.virtualTime());
        }
    }

    /**
     * Returns the virtual time at which a class that was idle joins the scheduling.
     *
     * @param queue the queue of the class
     * @return the current virtual time of urgent or non-urgent classes, in expected tokens divided by weight
     */
    public double currentVirtualTime(ClassQueue queue) {
        return queue.tier() == Tier.URGENT ? urgentVirtualTime : nonUrgentVirtualTime;
    }
}
