package io.lagoonseam.bench.load;

import io.lagoonseam.bench.traffic.TrafficGenerator;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.bench.traffic.TrafficReport;
import io.lagoonseam.core.configuration.FileSet;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Sends the traffic of a profile to running entry nodes and prints the progress each second. */
public final class LoadRun {

    private static final long DRAIN_TIMEOUT_MILLIS = 120_000;

    private final List<String> targets;
    private final FileSet fileSet;
    private final TrafficProfile profile;
    private final PrintStream out;
    private final List<ProgressSample> samples = new ArrayList<>();
    private final long startNanos = System.nanoTime();

    /**
     * Creates a run.
     *
     * @param targets the addresses of the entry nodes, each a URL without a path
     * @param fileSet the file set in force at the nodes, which holds the latency objectives of the classes
     * @param profile the traffic to send
     * @param out the stream to which progress is printed
     */
    public LoadRun(List<String> targets, FileSet fileSet, TrafficProfile profile, PrintStream out) {
        this.targets = List.copyOf(targets);
        this.fileSet = fileSet;
        this.profile = profile;
        this.out = out;
    }

    /**
     * Sends the traffic and waits until every request has ended.
     *
     * @param seed the seed of arrivals and prompts
     * @return the report of all requests
     * @throws TimeoutException if requests are still open two minutes after the end of the profile
     */
    public TrafficReport run(long seed) throws TimeoutException {
        Vertx vertx = Vertx.vertx();
        try {
            return TrafficGenerator.run(vertx, targets, fileSet, profile, seed, this::recordProgress)
                    .await(profile.durationMillis() + DRAIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            vertx.close();
        }
    }

    private void recordProgress(TrafficReport report) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        ProgressSample sample = new ProgressSample(elapsedMillis, report.requests(), report.ended(), report.tokens());
        samples.add(sample);
        out.printf(
                "%4d s  sent %d  ended %d  open %d  tokens %d%n",
                TimeUnit.MILLISECONDS.toSeconds(elapsedMillis),
                sample.requests(),
                sample.ended(),
                sample.requests() - sample.ended(),
                sample.tokens());
    }

    /**
     * Returns the totals that were sampled each second during the run.
     *
     * @return a copy of the samples in chronological order
     */
    public List<ProgressSample> samples() {
        return List.copyOf(samples);
    }
}
