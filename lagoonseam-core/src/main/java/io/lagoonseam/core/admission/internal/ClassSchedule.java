package io.lagoonseam.core.admission.internal;

import io.lagoonseam.core.configuration.Tier;
import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the class to serve next. Urgent classes go first; the others share what is left by weight. A class that was
 * not served for a good part of its longest wait is aged; one start in a fixed number is reserved for aged classes.
 */
public final class ClassSchedule {

    /** One start in this many may go to an aged class before the urgent ones. */
    public static final int RESERVED_ONE_IN = 16;

    /** The part of the longest wait at which a class is aged. */
    static final double AGED_SHARE = 0.5;

    private int startsSinceReserved = RESERVED_ONE_IN;
    private double urgentVirtualTime;
    private double sharedVirtualTime;

    /**
     * Chooses a class.
     *
     * @param queues the queues of all classes
     * @param nowMillis the monotonic time
     * @return a queue that is not empty, or empty if all are
     */
    public Optional<ClassQueue> next(Collection<ClassQueue> queues, long nowMillis) {
        ClassQueue aged = null;
        ClassQueue urgent = null;
        ClassQueue shared = null;
        for (ClassQueue queue : queues) {
            if (queue.isEmpty()) {
                continue;
            }
            if (isAged(queue, nowMillis) && isMoreAged(queue, aged, nowMillis)) {
                aged = queue;
            }
            if (queue.tier() == Tier.URGENT) {
                urgent = earlier(queue, urgent);
            } else {
                shared = earlier(queue, shared);
            }
        }
        startsSinceReserved++;
        if (aged != null && startsSinceReserved >= RESERVED_ONE_IN) {
            startsSinceReserved = 0;
            return Optional.of(aged);
        }
        return Optional.ofNullable(urgent == null ? shared : urgent);
    }

    private static boolean isAged(ClassQueue queue, long nowMillis) {
        return queue.usedShareOfWait(nowMillis) >= AGED_SHARE;
    }

    private static boolean isMoreAged(ClassQueue queue, ClassQueue other, long nowMillis) {
        return other == null || queue.usedShareOfWait(nowMillis) > other.usedShareOfWait(nowMillis);
    }

    private static ClassQueue earlier(ClassQueue queue, ClassQueue other) {
        return other == null || queue.virtualTime() < other.virtualTime() ? queue : other;
    }

    /**
     * Notes that a class is about to be served.
     *
     * @param queue the queue of the class
     */
    public void serving(ClassQueue queue) {
        if (queue.tier() == Tier.URGENT) {
            urgentVirtualTime = Math.max(urgentVirtualTime, queue.virtualTime());
        } else {
            sharedVirtualTime = Math.max(sharedVirtualTime, queue.virtualTime());
        }
    }

    /**
     * Returns the place of a class that begins to wait.
     *
     * @param queue the queue of the class
     * @return a virtual time
     */
    public double entryVirtualTime(ClassQueue queue) {
        return queue.tier() == Tier.URGENT ? urgentVirtualTime : sharedVirtualTime;
    }
}
