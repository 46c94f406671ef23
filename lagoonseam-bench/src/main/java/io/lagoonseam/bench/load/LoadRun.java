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

/** Sends a profile's traffic and prints its progress. */
public final class LoadRun {

    private static final long DRAIN_MILLIS = 120_000;

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
     * @param fileSet the file set in force there, for the targets of the classes
     * @param profile the traffic
     * @param out where progress is printed
     */
    public LoadRun(List<String> targets, FileSet fileSet, TrafficProfile profile, PrintStream out) {
        this.targets = List.copyOf(targets);
        this.fileSet = fileSet;
        this.profile = profile;
        this.out = out;
    }

    /**
     * Runs to the end of the last answer.
     *
     * @param seed the seed of arrivals and prompts
     * @return what was seen
     * @throws TimeoutException if answers are still missing two minutes after the last arrival
     */
    public TrafficReport run(long seed) throws TimeoutException {
        Vertx vertx = Vertx.vertx();
        try {
            return TrafficGenerator.run(vertx, targets, fileSet, profile, seed, this::progress)
                    .await(profile.durationMillis() + DRAIN_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            vertx.close();
        }
    }

    private void progress(TrafficReport report) {
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
     * Returns the totals of each second.
     *
     * @return samples in the order of time
     */
    public List<ProgressSample> samples() {
        return List.copyOf(samples);
    }
}
