package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Checks that string literals with names of the users' platform occur only below {@code platform/} and in the
 * stand-ins.
 */
public class PlatformNamesTest {

    private static final Path ROOT = Path.of("..");

    private static final List<String> NAMES = List.of(
            "X-Expect-Instance",
            "X-Response-Seal",
            "X-Not-Run",
            "X-Server-Load",
            "X-Prompt-Prefix",
            "X-Token-Counts",
            "X-Request-Urgency",
            "X-Tenant",
            "X-Deadline-Ms",
            "Api-Key",
            "Kv-Fetch",
            "traffic_split",
            "target_latency_ms",
            "gap_target_ms",
            "sticky_sessions",
            "stream_resume",
            "api_keys",
            "current_rev",
            "after_revision",
            "wait_ms",
            "LAGOONSEAM_NODE_FILE",
            "node_name",
            "internal_ports",
            "seed_nodes",
            "retry_budget_ratio");

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("/src/main/"))
                    .toList();
        }
    }

    @Test
    public void platformNamesOccurOnlyInPlatformAndStandIns() throws IOException {
        List<String> misplacedNames = new ArrayList<>();
        int platformOccurrences = 0;
        for (Path source : sources()) {
            String relativePath = ROOT.relativize(source).toString();
            String text = Files.readString(source);
            for (String name : NAMES) {
                if (text.contains("\"" + name) || text.contains(name + "\"")) {
                    if (relativePath.startsWith("platform/")) {
                        platformOccurrences++;
                    } else if (!relativePath.startsWith("lagoonseam-standin/")) {
                        misplacedNames.add(relativePath + ": " + name);
                    }
                }
            }
        }
        assertEquals(misplacedNames, List.of());
        assertTrue(
                platformOccurrences >= 20,
                "expected at least 20 occurrences of the listed names below platform/, got " + platformOccurrences);
    }
}
