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
 * The size of a fleet of model engines that serve five classes, one of each tier.
 *
 * @param nodes the entry nodes
 * @param engines the model engines
 * @param concurrency the most requests that an engine runs at once, as the file set states it
 * @param batch the most streams that an engine runs at once
 * @param stepMillis the time in which an engine generates a token of each running stream
 */
public record FleetShape(int nodes, int engines, int concurrency, int batch, long stepMillis) {

    /** The mean length of an answer, in tokens. */
    public static final double MEAN_ANSWER_TOKENS = 38;

    private static final String LEVELS_FILE = "policy-levels.yaml";
    private static final int FIRST_PORT = 19_500;
    private static final int WORKSPACES = 10;
    private static final int MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the shape that fits a machine in common use: some 4,800 tokens a second.
     *
     * @return four nodes before three engines
     */
    public static FleetShape standard() {
        return new FleetShape(4, 3, 16, 16, 10);
    }

    /**
     * Returns the nominal capacity.
     *
     * @return tokens a second
     */
    public double tokensPerSecond() {
        return (double) engines * batch * MILLIS_PER_SECOND / stepMillis;
    }

    /**
     * Returns the nominal capacity in requests of mean length.
     *
     * @return requests a second
     */
    public double requestsPerSecond() {
        return tokensPerSecond() / MEAN_ANSWER_TOKENS;
    }

    /**
     * Returns the file set of the fleet.
     *
     * @return levels, classes and workspaces in one file, upstreams in another
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
