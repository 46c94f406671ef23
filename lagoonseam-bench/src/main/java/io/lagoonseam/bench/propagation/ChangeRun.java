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

/** Applies changes at a rate and measures for each the time from its start until it is in force at every node. */
final class ChangeRun {

    private static final long POLL_MILLIS = 2;

    private final LightFleet fleet;
    private final ConfigurationStore operator;
    private final int workspaces;
    private final Map<Long, Long> markers = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Applied> fresh = new ConcurrentLinkedQueue<>();
    private final Histogram latencyMicros = new Histogram(3);
    private long nextMarker = 1;
    private int refused;

    ChangeRun(LightFleet fleet, int workspaces) {
        this.fleet = fleet;
        this.operator = fleet.operator();
        this.workspaces = workspaces;
    }

    private record Applied(long generation, long startNanos) {}

    /** What was measured. */
    record Measured(int applied, int refused, int unconfirmed, double p50Millis, double p99Millis, double maxMillis) {}

    /** Applies one change and returns when it is decided. */
    ApplyResult applyOne() {
        long marker = nextMarker++;
        long startNanos = System.nanoTime();
        ApplyResult result = operator.apply(
                        SyntheticFiles.of(workspaces, marker), "bench", "change " + marker, System.currentTimeMillis())
                .toCompletableFuture()
                .join();
        if (result instanceof ApplyResult.Applied applied) {
            markers.put(applied.generation(), marker);
            fresh.add(new Applied(applied.generation(), startNanos));
        } else {
            refused++;
        }
        return result;
    }

    Measured run(double perSecond, long seconds, Map<Long, Runnable> faultsAtMillis, long settleMillis)
            throws InterruptedException {
        latencyMicros.reset();
        refused = 0;
        fresh.clear();
        AtomicBoolean applying = new AtomicBoolean(true);
        Thread thread = new Thread(() -> applyAll(perSecond, seconds, applying), "bench-operator");
        thread.start();
        int unconfirmed = observe(applying, new TreeMap<>(faultsAtMillis), settleMillis);
        thread.join();
        int count = (int) latencyMicros.getTotalCount();
        return new Measured(
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

    private int observe(AtomicBoolean applying, TreeMap<Long, Runnable> faults, long settleMillis)
            throws InterruptedException {
        List<Applied> pending = new ArrayList<>();
        long startNanos = System.nanoTime();
        long doneNanos = -1;
        while (true) {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            while (!faults.isEmpty() && faults.firstKey() <= elapsedMillis) {
                faults.pollFirstEntry().getValue().run();
            }
            boolean ended = !applying.get();
            drain(pending);
            confirm(pending);
            if (ended && doneNanos < 0) {
                doneNanos = System.nanoTime();
            }
            boolean settled = ended && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - doneNanos) >= settleMillis;
            if (ended && faults.isEmpty() && (pending.isEmpty() && fresh.isEmpty() || settled)) {
                return pending.size();
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private void drain(List<Applied> pending) {
        Applied applied = fresh.poll();
        while (applied != null) {
            pending.add(applied);
            applied = fresh.poll();
        }
    }

    private void confirm(List<Applied> pending) {
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
