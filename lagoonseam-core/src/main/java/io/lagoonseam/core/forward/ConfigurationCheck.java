package io.lagoonseam.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/** Checks a configuration before it is sent, and compares it with the one in force. */
public final class ConfigurationCheck {

    private final RoutingConfiguration configuration;
    private final List<Finding> findings = new ArrayList<>();

    /** What is wrong with an entry. */
    public enum Kind {
        /** Requests would fail because of it. */
        ERROR,
        /** It can never match or take effect. */
        NEVER_MATCHES,
        /** Two of its limits contradict each other. */
        CONTRADICTION
    }

    /**
     * One finding.
     *
     * @param kind what is wrong
     * @param entry the entry, such as {@code route r1}
     * @param text what was expected and what was found
     */
    public record Finding(Kind kind, String entry, String text) {}

    private ConfigurationCheck(RoutingConfiguration configuration) {
        this.configuration = configuration;
    }

    /**
     * Checks a configuration.
     *
     * @param configuration the configuration
     * @return the findings, in the order of its entries
     */
    public static List<Finding> check(RoutingConfiguration configuration) {
        ConfigurationCheck check = new ConfigurationCheck(configuration);
        check.checkRoutes();
        check.checkServices();
        check.checkLimits();
        return List.copyOf(check.findings);
    }

    private void add(Kind kind, String entry, String text) {
        findings.add(new Finding(kind, entry, text));
    }

    private void checkRoutes() {
        Map<String, String> firstByMatch = new HashMap<>();
        Set<String> names = new HashSet<>();
        for (Route route : configuration.routes().all()) {
            String entry = "route " + route.name();
            if (!names.add(route.name())) {
                add(Kind.ERROR, entry, "the name occurs twice");
            }
            String prefix = route.pathPrefix();
            if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
                add(Kind.NEVER_MATCHES, entry, "its path prefix " + prefix + " does not begin and end with a slash");
            }
            if (route.host().isEmpty()) {
                add(Kind.NEVER_MATCHES, entry, "it names no host");
            }
            String match = route.host().toLowerCase(Locale.ROOT) + prefix;
            String first = firstByMatch.putIfAbsent(match, route.name());
            if (first != null) {
                add(Kind.NEVER_MATCHES, entry, "route " + first + " has the same host and path prefix");
            }
            checkTargets(route, entry);
            checkTimes(route, entry);
        }
    }

    private void checkTargets(Route route, String entry) {
        double weight = 0;
        for (WeightedService target : route.services()) {
            if (configuration.service(target.service()).isEmpty()) {
                add(Kind.ERROR, entry, "service " + target.service() + " is not defined");
            }
            if (target.weight() < 0) {
                add(Kind.ERROR, entry, "the weight of service " + target.service() + " is negative");
            }
            weight += Math.max(0, target.weight());
        }
        if (weight <= 0) {
            add(Kind.ERROR, entry, "no service has a weight above 0");
        }
    }

    private void checkTimes(Route route, String entry) {
        if (route.timeoutMillis() <= 0) {
            add(Kind.ERROR, entry, "its timeout of " + route.timeoutMillis() + " ms is not above 0");
            return;
        }
        if (route.objectiveMillis() > route.timeoutMillis()) {
            add(
                    Kind.CONTRADICTION,
                    entry,
                    "its objective of " + route.objectiveMillis() + " ms is above its timeout of "
                            + route.timeoutMillis() + " ms");
        }
        if (route.gapObjectiveMillis() > route.timeoutMillis()) {
            add(
                    Kind.CONTRADICTION,
                    entry,
                    "its objective for gaps of " + route.gapObjectiveMillis() + " ms is above its timeout of "
                            + route.timeoutMillis() + " ms");
        }
        if (route.maxAttempts() < 1) {
            add(Kind.ERROR, entry, "it allows " + route.maxAttempts() + " attempts");
        }
        if (route.priority() < 0) {
            add(Kind.ERROR, entry, "its priority " + route.priority() + " is negative");
        }
    }

    private void checkServices() {
        Set<String> led = new HashSet<>();
        configuration
                .routes()
                .all()
                .forEach(route -> route.services().stream()
                        .filter(target -> target.weight() > 0)
                        .forEach(target -> led.add(target.service())));
        new TreeMap<>(configuration.services()).forEach((name, service) -> {
            if (!led.contains(name)) {
                add(Kind.NEVER_MATCHES, "service " + name, "no route leads to it");
            }
            if (service.maxConnections() < 1) {
                add(Kind.ERROR, "service " + name, "it allows " + service.maxConnections() + " connections");
            }
        });
    }

    private void checkLimits() {
        CallerLimits limits = configuration.limits();
        if (limits.headerBytes() <= 0 || limits.bodyBytes() < 0) {
            add(Kind.ERROR, "limits", "the sizes of headers and bodies have to be above 0");
        }
        if (limits.headerTimeoutMillis() <= 0 || limits.idleTimeoutMillis() <= 0) {
            add(Kind.ERROR, "limits", "the timeouts have to be above 0");
        }
        if (limits.headerTimeoutMillis() > limits.idleTimeoutMillis()) {
            add(
                    Kind.CONTRADICTION,
                    "limits",
                    "a request may take " + limits.headerTimeoutMillis()
                            + " ms to arrive, and its connection may be idle for " + limits.idleTimeoutMillis()
                            + " ms only");
        }
    }

    /**
     * Compares a configuration with the one in force.
     *
     * @param before the configuration in force
     * @param after the one that is to be sent
     * @return a line for each entry that differs; keys are counted, not shown
     */
    public static List<String> differences(RoutingConfiguration before, RoutingConfiguration after) {
        List<String> lines = new ArrayList<>();
        if (after.version() <= before.version()) {
            lines.add("version " + after.version() + " is not above " + before.version() + ", which is in force");
        }
        Map<String, Route> routes = new TreeMap<>();
        before.routes().all().forEach(route -> routes.put(route.name(), route));
        Map<String, Route> newRoutes = new TreeMap<>();
        after.routes().all().forEach(route -> newRoutes.put(route.name(), route));
        compare("route", routes, newRoutes, lines);
        compare("service", new TreeMap<>(before.services()), new TreeMap<>(after.services()), lines);
        if (!before.limits().equals(after.limits())) {
            lines.add("limits: " + before.limits() + " becomes " + after.limits());
        }
        compareKeys(before, after, lines);
        return lines;
    }

    private static <T> void compare(String kind, Map<String, T> before, Map<String, T> after, List<String> lines) {
        before.forEach((name, entry) -> {
            if (!after.containsKey(name)) {
                lines.add(kind + " " + name + " is removed");
            } else if (!Objects.equals(entry, after.get(name))) {
                lines.add(kind + " " + name + ": " + entry + " becomes " + after.get(name));
            }
        });
        after.keySet().stream()
                .filter(name -> !before.containsKey(name))
                .forEach(name -> lines.add(kind + " " + name + " is added"));
    }

    private static void compareKeys(RoutingConfiguration before, RoutingConfiguration after, List<String> lines) {
        Map<String, int[]> byWorkspace = new TreeMap<>();
        before.workspacesByKey().forEach((key, holder) -> {
            if (!holder.equals(after.workspacesByKey().get(key))) {
                byWorkspace.computeIfAbsent(holder.workspace(), name -> new int[2])[0]++;
            }
        });
        after.workspacesByKey().forEach((key, holder) -> {
            if (!holder.equals(before.workspacesByKey().get(key))) {
                byWorkspace.computeIfAbsent(holder.workspace(), name -> new int[2])[1]++;
            }
        });
        byWorkspace.forEach((workspace, counts) ->
                lines.add("workspace " + workspace + ": " + counts[0] + " keys go, " + counts[1] + " come"));
    }
}
