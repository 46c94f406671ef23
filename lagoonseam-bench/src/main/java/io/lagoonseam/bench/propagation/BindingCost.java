package io.lagoonseam.bench.propagation;

import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.configuration.ConfigurationParts;
import io.lagoonseam.entry.configuration.PartReader;
import java.util.concurrent.TimeUnit;

/**
 * Measures the time that a node with many workspaces needs to read one change, compared with reading the whole file
 * set.
 */
final class BindingCost {

    private static final int WARM_UP_ROUNDS = 10;
    private static final int MEASURED_ROUNDS = 20;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private BindingCost() {}

    /**
     * The measurements.
     *
     * @param changedMillis the mean time in milliseconds to read a generation, when the reader holds one that differs
     *     by one change
     * @param wholeMillis the time in milliseconds to read all parts of a generation, as a baseline
     * @param parts the number of parts of a generation
     * @param largestPartBytes the size of the largest part, in bytes
     * @param changedParts the number of parts that differ between the two generations
     * @param heldMegabytes the heap in megabytes that a reader with one generation uses
     */
    record Measurement(
            double changedMillis,
            double wholeMillis,
            int parts,
            int largestPartBytes,
            int changedParts,
            double heldMegabytes) {}

    static Measurement measure(int workspaces) {
        ConfigurationParts before = ConfigurationParts.of(SyntheticFiles.of(workspaces, 1));
        ConfigurationParts after = ConfigurationParts.of(SyntheticFiles.of(workspaces, 2));
        long usedBefore = usedBytes();
        PartReader reader = new PartReader();
        read(reader, before);
        double heldMegabytes = (usedBytes() - usedBefore) / BYTES_PER_MEGABYTE;
        long changedNanos = 0;
        for (int round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round++) {
            long startNanos = System.nanoTime();
            read(reader, round % 2 == 0 ? after : before);
            changedNanos += round < WARM_UP_ROUNDS ? 0 : System.nanoTime() - startNanos;
        }
        long startNanos = System.nanoTime();
        read(new PartReader(), after);
        long wholeNanos = System.nanoTime() - startNanos;
        return new Measurement(
                changedNanos / (double) MEASURED_ROUNDS / TimeUnit.MILLISECONDS.toNanos(1),
                wholeNanos / (double) TimeUnit.MILLISECONDS.toNanos(1),
                after.listing().digests().size(),
                after.largestBytes(),
                after.countPartsMissingFrom(before),
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
