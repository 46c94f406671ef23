package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.entry.configuration.SourceFile;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The size of a fleet of entry nodes and model engines that serves five request classes, one of each tier.
 *
 * @param nodes the number of entry nodes
 * @param engines the number of model engines
 * @param concurrency the most requests in flight at an engine, as configured in the file set
 * @param batch the most streams that an engine runs in one batch
 * @param stepMillis the time of one step in milliseconds, in which an engine generates one token of each running stream
 */
public record FleetShape(int nodes, int engines, int concurrency, int batch, long stepMillis) {

    /** The mean length of an answer, in tokens. */
    public static final double MEAN_ANSWER_TOKENS = 38;

    private static final String LEVELS_FILE = "policy-levels.yaml";
    private static final int FIRST_PORT = 19_500;
    private static final int WORKSPACES = 10;
    private static final int MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the standard shape, which fits a machine in common use: about 4,800 tokens per second.
     *
     * @return the shape of four nodes and three engines
     */
    public static FleetShape standard() {
        return new FleetShape(4, 3, 16, 16, 10);
    }

    /**
     * Returns the nominal capacity of all engines.
     *
     * @return tokens per second
     */
    public double tokensPerSecond() {
        return (double) engines * batch * MILLIS_PER_SECOND / stepMillis;
    }

    /**
     * Returns the nominal capacity in requests of mean answer length.
     *
     * @return requests per second
     */
    public double requestsPerSecond() {
        return tokensPerSecond() / MEAN_ANSWER_TOKENS;
    }

    /**
     * Returns the file set of the fleet.
     *
     * @return one file with service levels, classes and workspaces and one with upstreams
     */
    public List<SourceFile> files() {
        List<SourceFile> files = new ArrayList<>();
        files.add(new SourceFile(LEVELS_FILE, resource(LEVELS_FILE)));
        StringBuilder upstreams = new StringBuilder();
        for (int index = 0; index < engines; index++) {
            upstreams.append(String.format(
                    "---%nkind: Upstream%nname: engine-%d%nservice: care-llm%nhost: 127.0.0.1%nport: %d%n"
                            + "dataCentre: prairie-a%nconcurrency: %d%n",
                    index + 1, FIRST_PORT + index, concurrency));
        }
        files.add(new SourceFile("policy-upstreams.yaml", upstreams.toString()));
        return files;
    }

    private static String resource(String name) {
        try (InputStream stream = FleetShape.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the bearer keys of the workspaces.
     *
     * @return one key for each workspace
     */
    public static List<String> keys() {
        return IntStream.rangeClosed(1, WORKSPACES)
                .mapToObj(number -> "studio-" + number + ".demo")
                .toList();
    }
}
