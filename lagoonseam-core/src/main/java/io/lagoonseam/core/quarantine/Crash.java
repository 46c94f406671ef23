package io.lagoonseam.core.quarantine;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;

/**
 * One crash of a worker.
 *
 * @param worker a hash of the lifetime of the worker, as far as its record tells
 * @param atMillis the time, on the monotonic clock of this node, in milliseconds
 * @param sentMillis when the last of the requests was sent that the worker had, on the same clock
 */
public record Crash(long worker, long atMillis, long sentMillis) {

    /**
     * How far apart the reports of several nodes about one crash may be, in milliseconds. A worker whose record does
     * not tell its lifetimes apart is down for longer.
     */
    private static final long SAME_CRASH_MILLIS = 2_000;

    /**
     * Returns the crash of a worker.
     *
     * @param worker the lifetime that has ended
     * @param atMillis the time, on the monotonic clock, in milliseconds
     * @param sentMillis when the request was sent that the worker had
     * @return the crash
     */
    public static Crash of(WorkerIncarnation worker, long atMillis, long sentMillis) {
        return new Crash(
                Rendezvous.mix(
                        Rendezvous.hash(worker.service()),
                        Rendezvous.mix(Rendezvous.hash(worker.id()), worker.startMillis())),
                atMillis,
                sentMillis);
    }

    /**
     * Returns what two nodes know of the same crash.
     *
     * @param other the other report
     * @return the crash with the earlier time and the request that was sent last
     */
    public Crash merge(Crash other) {
        return new Crash(worker, Math.min(atMillis, other.atMillis), Math.max(sentMillis, other.sentMillis));
    }

    /**
     * Returns whether two reports are about the same crash.
     *
     * @param other another report
     * @return true if the worker is the same and the times are close
     */
    public boolean sameAs(Crash other) {
        return worker == other.worker && Math.abs(atMillis - other.atMillis) < SAME_CRASH_MILLIS;
    }
}
