package io.lagoonseam.core.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The rate limits that workers have named in their answers, to this node or to its peers. A limit is in force until an
 * answer to a later request names none. Not thread-safe.
 */
public final class AnnouncedLimits {

    /**
     * The longest time that a report of a peer takes to arrive, in milliseconds; it looks newer than it is by this
     * time.
     */
    private static final long ARRIVAL_MARGIN_MILLIS = 1_000;

    /** How long the limit of a worker that no longer exists is kept, in milliseconds. */
    private static final long FORGET_MILLIS = 600_000;

    private final Map<WorkerIncarnation, Entry> entries = new HashMap<>();
    private long changes;

    /** The newest statement of a worker; a limit that is not present has ended. */
    private record Entry(OptionalDouble perSecond, long statedMillis) {

        double orUnlimited() {
            return perSecond.orElse(Double.POSITIVE_INFINITY);
        }
    }

    /**
     * Records that an answer names a limit.
     *
     * @param worker the worker
     * @param perSecond the requests per second
     * @param nowMillis the current time, in milliseconds
     * @return whether it differs from what was known
     */
    public boolean recordNamed(WorkerIncarnation worker, double perSecond, long nowMillis) {
        return put(worker, new Entry(OptionalDouble.of(perSecond), nowMillis));
    }

    /**
     * Records that an answer names no limit. It ends a limit only if the request was sent after the limit was last
     * named, since answers on different connections may overtake each other.
     *
     * @param worker the worker
     * @param sentMillis the time at which the request of the answer was sent, in milliseconds
     * @return whether a limit has ended
     */
    public boolean recordNone(WorkerIncarnation worker, long sentMillis) {
        Entry known = entries.get(worker);
        return known != null
                && known.perSecond().isPresent()
                && known.statedMillis() < sentMillis
                && put(worker, new Entry(OptionalDouble.empty(), sentMillis));
    }

    private boolean put(WorkerIncarnation worker, Entry entry) {
        Entry known = entries.put(worker, entry);
        OptionalDouble before = known == null ? OptionalDouble.empty() : known.perSecond();
        boolean changed = !before.equals(entry.perSecond());
        changes += changed ? 1 : 0;
        return changed;
    }

    /**
     * Applies what another node knows. A lower limit has to be newer than the known one; a higher one, or the end of
     * the limit, has to be newer by the time that a report may take to arrive.
     *
     * @param report the report
     * @param nowMillis the current time, in milliseconds
     * @return whether it differs from what was known
     */
    public boolean apply(LimitReport report, long nowMillis) {
        Entry known = entries.get(report.worker());
        Entry reported = new Entry(report.perSecond(), nowMillis - report.ageMillis());
        if (known == null) {
            return report.perSecond().isPresent() && put(report.worker(), reported);
        }
        long marginMillis = reported.orUnlimited() < known.orUnlimited() ? 0 : ARRIVAL_MARGIN_MILLIS;
        return known.statedMillis() < reported.statedMillis() - marginMillis && put(report.worker(), reported);
    }

    /**
     * Returns the limit of a worker.
     *
     * @param worker the worker
     * @return the requests per second, empty if the worker has no limit
     */
    public OptionalDouble perSecond(WorkerIncarnation worker) {
        Entry known = entries.isEmpty() ? null : entries.get(worker);
        return known == null ? OptionalDouble.empty() : known.perSecond();
    }

    /**
     * Returns what this node knows of one worker.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return the report, empty if no limit of the worker is known, not even one that has ended
     */
    public Optional<LimitReport> report(WorkerIncarnation worker, long nowMillis) {
        return Optional.ofNullable(entries.get(worker))
                .map(known ->
                        new LimitReport(worker, known.perSecond(), Math.max(0, nowMillis - known.statedMillis())));
    }

    /**
     * Returns what this node knows of all workers.
     *
     * @param nowMillis the current time, in milliseconds
     * @return one report for each worker that has or had a limit
     */
    public List<LimitReport> reports(long nowMillis) {
        List<LimitReport> reports = new ArrayList<>();
        entries.keySet().forEach(worker -> report(worker, nowMillis).ifPresent(reports::add));
        return reports;
    }

    /**
     * Returns whether no worker has ever named a limit, as far as this node knows.
     *
     * @return true if there is nothing to report or to forget
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Returns a number that grows with each limit that is named, changed or ended.
     *
     * @return the number of changes
     */
    public long changes() {
        return changes;
    }

    /**
     * Forgets workers that no longer exist, if they have said nothing for long: a worker may be missing for a while in
     * what this node knows of the store.
     *
     * @param existing the workers that exist
     * @param nowMillis the current time, in milliseconds
     */
    public void retain(Set<WorkerIncarnation> existing, long nowMillis) {
        entries.entrySet()
                .removeIf(entry -> !existing.contains(entry.getKey())
                        && nowMillis - entry.getValue().statedMillis() > FORGET_MILLIS);
    }
}
