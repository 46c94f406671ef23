package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.forward.ConfigurationCheck.Finding;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.testng.annotations.Test;

/** Checks what is found in a configuration before it is sent. */
public class ConfigurationCheckTest {

    private static Route route(String name, String prefix, long timeoutMillis, long objectiveMillis, String service) {
        return new Route(
                name,
                "host",
                prefix,
                WorkKind.STREAM,
                timeoutMillis,
                objectiveMillis,
                300,
                1,
                List.of(new WeightedService(service, 1)),
                1,
                false);
    }

    private static RoutingConfiguration.Builder builder(long version, Route... routes) {
        return RoutingConfiguration.builder(version)
                .routes(new RouteTable(List.of(routes)))
                .services(Map.of("llm", new ForwardService("llm", 100, true, 1_000)));
    }

    private static String kinds(RoutingConfiguration configuration) {
        return ConfigurationCheck.check(configuration).stream()
                .map(finding -> finding.kind() + " " + finding.entry())
                .toList()
                .toString();
    }

    @Test
    public void nothingIsFoundInASoundConfiguration() {
        assertEquals(
                ConfigurationCheck.check(
                        builder(1, route("r1", "/a/", 5_000, 500, "llm")).build()),
                List.<Finding>of());
    }

    @Test
    public void entriesThatCanNeverMatchAreNamed() {
        RoutingConfiguration configuration = builder(
                        1,
                        route("r1", "/a/", 5_000, 500, "llm"),
                        route("r2", "/a/", 5_000, 500, "llm"),
                        route("r3", "b", 5_000, 500, "llm"))
                .services(Map.of(
                        "llm", new ForwardService("llm", 100, true, 1_000),
                        "spare", new ForwardService("spare", 100, false, 0)))
                .build();
        assertEquals(
                kinds(configuration), "[NEVER_MATCHES route r2, NEVER_MATCHES route r3, NEVER_MATCHES service spare]");
    }

    @Test
    public void errorsAndContradictionsAreNamed() {
        RoutingConfiguration configuration = builder(
                        1,
                        route("r1", "/a/", 400, 500, "llm"),
                        route("r2", "/b/", 0, 500, "llm"),
                        route("r3", "/c/", 5_000, 500, "gone"))
                .limits(new CallerLimits(16_384, 4_096, 20_000, 15_000))
                .build();
        assertEquals(
                kinds(configuration), "[CONTRADICTION route r1, ERROR route r2, ERROR route r3, CONTRADICTION limits]");
    }

    @Test
    public void differencesShowEntriesAndNoKeys() {
        RoutingConfiguration before = builder(
                        3, route("r1", "/a/", 5_000, 500, "llm"), route("r2", "/b/", 5_000, 500, "llm"))
                .workspaces(Map.of(
                        "secret-1", new KeyWorkspace("w1", OptionalInt.of(1)),
                        "secret-2", new KeyWorkspace("w1", OptionalInt.of(1))))
                .build();
        RoutingConfiguration after = builder(
                        3, route("r1", "/a/", 6_000, 500, "llm"), route("r3", "/c/", 5_000, 500, "llm"))
                .workspaces(Map.of("secret-2", new KeyWorkspace("w1", OptionalInt.of(1))))
                .build();
        List<String> lines = ConfigurationCheck.differences(before, after);
        assertEquals(lines.size(), 5, lines.toString());
        assertTrue(lines.get(0).contains("version 3 is not above 3"), lines.get(0));
        assertTrue(lines.get(1).startsWith("route r1: ") && lines.get(1).contains("6000"), lines.get(1));
        assertEquals(
                lines.subList(2, 5),
                List.of("route r2 is removed", "route r3 is added", "workspace w1: 1 keys go, 0 come"));
        assertTrue(lines.stream().noneMatch(line -> line.contains("secret")), "a key is shown");
        assertEquals(ConfigurationCheck.differences(before, before).size(), 1);
    }
}
