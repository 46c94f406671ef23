package io.lagoonseam.core.lock;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** A lock that enforces the order of {@link LockRank}, which prevents deadlocks among ranked locks. Not reentrant. */
public final class RankedLock {

    private static final ThreadLocal<Deque<RankedLock>> HELD = ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank rank;
    private final ReentrantLock lock = new ReentrantLock();

    /**
     * Creates a lock.
     *
     * @param rank its rank in the lock ordering
     */
    public RankedLock(LockRank rank) {
        this.rank = rank;
    }

    /**
     * Runs an action while holding the lock.
     *
     * @param action the action, which must not block
     * @throws IllegalStateException if this thread holds a lock of the same or a later rank
     */
    public void run(Runnable action) {
        call(() -> {
            action.run();
            return null;
        });
    }

    /**
     * Runs an action while holding the lock and returns its result.
     *
     * @param action the action, which must not block
     * @param <T> the type of the result
     * @return the result of the action
     * @throws IllegalStateException if this thread holds a lock of the same or a later rank
     */
    public <T> T call(Supplier<T> action) {
        Deque<RankedLock> held = HELD.get();
        checkOrder(held);
        lock.lock();
        held.push(this);
        try {
            return action.get();
        } finally {
            held.pop();
            lock.unlock();
        }
    }

    private void checkOrder(Deque<RankedLock> held) {
        RankedLock last = held.peek();
        if (last != null && last.rank.compareTo(rank) >= 0) {
            throw new IllegalStateException("lock " + rank + " requested while " + last.rank + " is held");
        }
    }
}
