package io.lagoonseam.bench.propagation;

import io.lagoonseam.entry.configuration.ApplyResult;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Histogram;

/**
 * Applies changes of configuration at a given rate and measures for each the time from its start until it is in force
 * at every node.
 */
final class ChangeRun {

    private static final long POLL_MILLIS = 2;

    private final FollowerFleet fleet;
    private final ConfigurationStore operator;
    private final int workspaces;
    private final Map<Long, Long> markers = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Applied> newlyApplied = new ConcurrentLinkedQueue<>();
    private final Histogram latencyMicros = new Histogram(3);
    private long nextMarker = 1;
    private int refused;

    ChangeRun(FollowerFleet fleet, int workspaces) {
        this.fleet = fleet;
        this.operator = fleet.operator();
        this.workspaces = workspaces;
    }

    private record Applied(long generation, long startNanos) {}

    /**
     * The measurements of a run.
     *
     * @param applied the number of changes that the platform accepted
     * @param refused the number of changes that were not accepted
     * @param unconfirmed the number of accepted changes that were not in force at every node at the end of the run
     * @param p50Millis the median time in milliseconds until a change was in force at every node
     * @param p99Millis the 99th percentile of that time in milliseconds
     * @param maxMillis the maximum of that time in milliseconds
     */
    record Measurement(
            int applied, int refused, int unconfirmed, double p50Millis, double p99Millis, double maxMillis) {}

    /** Applies one change and waits until the platform has accepted or refused it. */
    ApplyResult applyOne() {
        long marker = nextMarker++;
        long startNanos = System.nanoTime();
        ApplyResult result = operator.apply(
                        SyntheticFiles.of(workspaces, marker), "bench", "change " + marker, System.currentTimeMillis())
                .toCompletableFuture()
                .join();
        if (result instanceof ApplyResult.Applied applied) {
            markers.put(applied.generation(), marker);
            newlyApplied.add(new Applied(applied.generation(), startNanos));
        } else {
            refused++;
        }
        return result;
    }

    Measurement run(double perSecond, long seconds, Map<Long, Runnable> faultsAtMillis, long settleMillis)
            throws InterruptedException {
        latencyMicros.reset();
        refused = 0;
        newlyApplied.clear();
        AtomicBoolean applying = new AtomicBoolean(true);
        Thread thread = new Thread(() -> applyAll(perSecond, seconds, applying), "bench-operator");
        thread.start();
        int unconfirmed = awaitConfirmations(applying, new TreeMap<>(faultsAtMillis), settleMillis);
        thread.join();
        int count = (int) latencyMicros.getTotalCount();
        return new Measurement(
                count + unconfirmed,
                refused,
                unconfirmed,
                latencyMicros.getValueAtPercentile(50) / 1_000.0,
                latencyMicros.getValueAtPercentile(99) / 1_000.0,
                latencyMicros.getMaxValue() / 1_000.0);
    }

    private void applyAll(double perSecond, long seconds, AtomicBoolean applying) {
        long startNanos = System.nanoTime();
        long endNanos = startNanos + TimeUnit.SECONDS.toNanos(seconds);
        long stepNanos = (long) (TimeUnit.SECONDS.toNanos(1) / perSecond);
        long dueNanos = startNanos;
        while (dueNanos < endNanos && System.nanoTime() < endNanos) {
            sleepUntil(dueNanos);
            applyOne();
            dueNanos = Math.max(dueNanos + stepNanos, System.nanoTime());
        }
        applying.set(false);
    }

    private static void sleepUntil(long nanos) {
        long waitNanos = nanos - System.nanoTime();
        if (waitNanos > 0) {
            try {
                TimeUnit.NANOSECONDS.sleep(waitNanos);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private int awaitConfirmations(AtomicBoolean applying, TreeMap<Long, Runnable> faults, long settleMillis)
            throws InterruptedException {
        List<Applied> pending = new ArrayList<>();
        long startNanos = System.nanoTime();
        long endedNanos = -1;
        while (true) {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            while (!faults.isEmpty() && faults.firstKey() <= elapsedMillis) {
                faults.pollFirstEntry().getValue().run();
            }
            boolean ended = !applying.get();
            drainApplied(pending);
            recordConfirmed(pending);
            if (ended && endedNanos < 0) {
                endedNanos = System.nanoTime();
            }
            boolean settled = ended && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - endedNanos) >= settleMillis;
            if (ended && faults.isEmpty() && (pending.isEmpty() && newlyApplied.isEmpty() || settled)) {
                return pending.size();
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private void drainApplied(List<Applied> pending) {
        Applied applied = newlyApplied.poll();
        while (applied != null) {
            pending.add(applied);
            applied = newlyApplied.poll();
        }
    }

    private void recordConfirmed(List<Applied> pending) {
        long lowest = fleet.lowestGeneration(markers);
        long nowNanos = System.nanoTime();
        pending.removeIf(applied -> {
            boolean confirmed = applied.generation() <= lowest;
            if (confirmed) {
                latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(nowNanos - applied.startNanos()));
            }
            return confirmed;
        });
    }
}
