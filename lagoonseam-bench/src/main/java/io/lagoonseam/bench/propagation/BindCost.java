package io.lagoonseam.bench.propagation;

import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.configuration.ConfigurationParts;
import io.lagoonseam.entry.configuration.PartReader;
import java.util.concurrent.TimeUnit;

/** Measures what one change costs a node that holds many workspaces, against reading the whole set again. */
final class BindCost {

    private static final int WARM_UP = 10;
    private static final int ROUNDS = 20;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private BindCost() {}

    /** What was measured. */
    record Measured(
            double changedMillis,
            double wholeMillis,
            int parts,
            int largestPartBytes,
            int changedParts,
            double heldMegabytes) {}

    static Measured measure(int workspaces) {
        ConfigurationParts before = ConfigurationParts.of(SyntheticFiles.of(workspaces, 1));
        ConfigurationParts after = ConfigurationParts.of(SyntheticFiles.of(workspaces, 2));
        long usedBefore = usedBytes();
        PartReader reader = new PartReader();
        read(reader, before);
        double heldMegabytes = (usedBytes() - usedBefore) / BYTES_PER_MEGABYTE;
        long changedNanos = 0;
        for (int round = 0; round < WARM_UP + ROUNDS; round++) {
            long startNanos = System.nanoTime();
            read(reader, round % 2 == 0 ? after : before);
            changedNanos += round < WARM_UP ? 0 : System.nanoTime() - startNanos;
        }
        long startNanos = System.nanoTime();
        read(new PartReader(), after);
        long wholeNanos = System.nanoTime() - startNanos;
        return new Measured(
                changedNanos / (double) ROUNDS / TimeUnit.MILLISECONDS.toNanos(1),
                wholeNanos / (double) TimeUnit.MILLISECONDS.toNanos(1),
                after.listing().digests().size(),
                after.largestBytes(),
                after.changedSince(before),
                heldMegabytes);
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        runtime.gc();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void read(PartReader reader, ConfigurationParts parts) {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        reader.read(parts.listing(), parts.texts(), reporter)
                .orElseThrow(() -> new IllegalStateException(reporter.errors().toString()));
    }
}
