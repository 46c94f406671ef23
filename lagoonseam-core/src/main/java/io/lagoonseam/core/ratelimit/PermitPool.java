package io.lagoonseam.core.ratelimit;

import io.lagoonseam.core.time.TimeReading;
import io.lagoonseam.core.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The permits that a node holds and asks for: at most one of each worker, since a permit that is not used soon is lost
 * for all nodes. Not thread-safe.
 */
public final class PermitPool {

    /**
     * How long a permit may be used after it was asked for, in milliseconds. It covers the wait at the issuer, and
     * bounds how many permits may be saved up for one moment.
     */
    public static final long LIFETIME_MILLIS = 900;

    private final TimeSource time;
    private final Map<WorkerIncarnation, Holding> holdings = new HashMap<>();
    private long lastNumber;

    private static final class Holding {
        private Permit permit = Permit.NONE;
        private long pendingNumber;
        private int pendingPriority;
        private TimeReading asked;
    }

    /**
     * Creates an empty pool.
     *
     * @param time the clocks
     */
    public PermitPool(TimeSource time) {
        this.time = time;
    }

    /**
     * Returns whether a valid permit is held.
     *
     * @param worker the worker
     * @return whether {@link #take} returns it
     */
    public boolean holds(WorkerIncarnation worker) {
        Holding holding = holdings.get(worker);
        return holding != null && holding.permit.valid(time);
    }

    /**
     * Takes the permit that is held.
     *
     * @param worker the worker
     * @return the permit, which may have expired; {@link Permit#NONE} if none is held
     */
    public Permit take(WorkerIncarnation worker) {
        Holding holding = holdings.get(worker);
        if (holding == null) {
            return Permit.NONE;
        }
        Permit taken = holding.permit;
        holding.permit = Permit.NONE;
        return taken;
    }

    /**
     * Decides whether to ask for a permit now: if none is held, and none has been asked for, or only for a less urgent
     * request.
     *
     * @param worker the worker
     * @param priority the priority of the request that needs it; 0 is the most urgent
     * @return the number of the question, empty if none is to be asked
     */
    public OptionalLong startAsk(WorkerIncarnation worker, int priority) {
        Holding holding = holdings.computeIfAbsent(worker, unknown -> new Holding());
        boolean pending = holding.pendingNumber != 0 && holding.pendingPriority <= priority;
        if (holds(worker) || pending) {
            return OptionalLong.empty();
        }
        lastNumber++;
        holding.pendingNumber = lastNumber;
        holding.pendingPriority = priority;
        holding.asked = TimeReading.now(time);
        return OptionalLong.of(lastNumber);
    }

    /**
     * Records the answer to a question.
     *
     * @param worker the worker
     * @param number the number of the question; an answer to an earlier question than the last one is ignored
     * @param granted whether a permit was issued
     */
    public void onAnswer(WorkerIncarnation worker, long number, boolean granted) {
        Holding holding = holdings.get(worker);
        if (holding == null || holding.pendingNumber != number) {
            return;
        }
        holding.pendingNumber = 0;
        if (granted) {
            holding.permit = Permit.expiring(holding.asked, LIFETIME_MILLIS);
        }
    }

    /**
     * Forgets the workers that no longer exist.
     *
     * @param existing the workers that exist
     */
    public void retain(Set<WorkerIncarnation> existing) {
        holdings.keySet().retainAll(existing);
    }
}
