package io.lagoonseam.standin.operator;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Texts and objects in the platform's words, as its operators, workers and callers write them. */
public final class PlatformTexts {

    private PlatformTexts() {}

    /**
     * The addresses of a node.
     *
     * @param host the IP number for callers and of the store
     * @param peerHost the IP number for other nodes
     * @param callerPort where callers come
     * @param readyPort where the balancer asks
     * @param peerPort where other nodes come
     * @param storePort the store's port at the same IP number
     */
    public record Addresses(String host, String peerHost, int callerPort, int readyPort, int peerPort, int storePort) {}

    /**
     * Writes a node's settings file.
     *
     * @param name the node's name
     * @param addresses its addresses
     * @param stopSeconds the time to stop
     * @param seeds the hosts of other nodes
     * @return TOML
     */
    public static String settings(String name, Addresses addresses, long stopSeconds, List<String> seeds) {
        String host = addresses.host();
        return "node_name = \"" + name + "\"\nip = \"" + addresses.peerHost() + "\"\nzone = \"dc-1\"\n"
                + "internal_ports = [" + addresses.peerPort() + ", " + (addresses.peerPort() + 1) + "]\n"
                + "seed_nodes = ["
                + seeds.stream().map(seed -> '"' + seed + ":1\"").collect(Collectors.joining(", "))
                + "]\n[listen]\nfront = \"" + host + ":" + addresses.callerPort() + "\"\n"
                + "ready = \"" + host + ":" + addresses.readyPort() + "\"\n"
                + "[limits]\nmemory_mb = 280\nmax_fds = 4000\n"
                + "[bounds]\ngrace_s = " + stopSeconds
                + "\nretry_budget_ratio = 0.2\nbudget_window_s = 10.0\nretry_budget_slack = 50\n"
                + "[platform]\naddress = \"" + host + ":" + addresses.storePort() + "\"\n";
    }

    /**
     * Makes a route.
     *
     * @param host the host that callers name
     * @param name its name
     * @param prefix its path prefix
     * @param kind its kind
     * @param service its service
     * @param timeoutMillis its timeout
     * @return the route
     */
    public static JsonObject route(
            String host, String name, String prefix, String kind, String service, long timeoutMillis) {
        return new JsonObject()
                .put("name", name)
                .put("host", host)
                .put("path_prefix", prefix)
                .put("kind", kind)
                .put("timeout_ms", timeoutMillis)
                .put("target_latency_ms", 300)
                .put("gap_target_ms", 200)
                .put("priority", 1)
                .put("service", service)
                .put("max_attempts", 1);
    }

    /**
     * Makes one route for each kind of work: {@code /read/}, {@code /pay/}, {@code /talk/} and {@code /chat/}.
     *
     * @param host the host that callers name
     * @return the routes
     */
    public static List<JsonObject> routes(String host) {
        return List.of(
                route(host, "read", "/read/", "safe", "app", 1_500).put("max_attempts", 2),
                route(host, "pay", "/pay/", "unsafe", "app", 1_500),
                route(host, "talk", "/talk/", "streaming", "llm", 6_000)
                        .put("stream_resume", true)
                        .put("max_attempts", 2)
                        .put("sticky_sessions", true),
                route(host, "chat", "/chat/", "streaming", "llm", 4_000).put("sticky_sessions", true));
    }

    /**
     * Makes a configuration with a plain service, a model's service and one workspace.
     *
     * @param version its version
     * @param routes its routes
     * @param key the workspace's key
     * @return the configuration
     */
    public static JsonObject configuration(long version, List<JsonObject> routes, String key) {
        JsonObject plain = new JsonObject().put("name", "app").put("max_connections", 90);
        JsonObject model = new JsonObject()
                .put("name", "llm")
                .put("max_connections", 90)
                .put("engine", new JsonObject().put("slots", 16));
        return new JsonObject()
                .put("version", version)
                .put("routes", new JsonArray(routes))
                .put("services", new JsonArray().add(plain).add(model))
                .put(
                        "limits",
                        new JsonObject()
                                .put("max_header_bytes", 8_000)
                                .put("max_body_bytes", 100_000)
                                .put("idle_timeout_ms", 5_000))
                .put(
                        "tenants",
                        new JsonArray()
                                .add(new JsonObject().put("name", "studio").put("api_keys", new JsonArray().add(key))));
    }

    /**
     * Makes a worker's record.
     *
     * @param service its service
     * @param address its address
     * @param slots its slots
     * @param state its state
     * @return the record
     */
    public static JsonObject worker(String service, String address, int slots, String state) {
        return new JsonObject()
                .put("service", service)
                .put("address", address)
                .put("zone", "dc-1")
                .put("version", "v1")
                .put("slots", slots)
                .put("state", state)
                .put("born", 1_000L)
                .put("sequence", 1);
    }

    /**
     * Makes the headers that callers send.
     *
     * @param key the caller's key
     * @param id the request's id
     * @return headers by their names
     */
    public static Map<String, String> callerHeaders(String key, String id) {
        return Map.of("Api-Key", key, "X-Request-Id", id, "X-Deadline-Ms", "5000");
    }

    /**
     * Makes the headers of a prompt.
     *
     * @param shared the id of its shared part
     * @param own the id of its own part
     * @return headers by their names
     */
    public static Map<String, String> promptHeaders(String shared, String own) {
        return promptHeaders(shared, own, 40);
    }

    /**
     * Makes the headers of a prompt with an answer of a given length.
     *
     * @param shared the id of its shared part
     * @param own the id of its own part
     * @param answerTokens the longest answer
     * @return headers by their names
     */
    public static Map<String, String> promptHeaders(String shared, String own, int answerTokens) {
        return Map.of("X-Token-Counts", "300," + answerTokens, "X-Prompt-Prefix", shared + ":200," + own + ":100");
    }
}
