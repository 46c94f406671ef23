package io.lagoonseam.standin.operator;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Creates settings files, store records and request headers in the format of the users' platform. */
public final class PlatformFixtures {

    /** The environment variable that names the settings file of a node. */
    public static final String SETTINGS_FILE_VARIABLE = "LAGOONSEAM_NODE_FILE";

    private static final String SEAL = "\r\nx-response-seal: ";
    private static final String LIMIT = "\r\nserver-limit: ";

    private PlatformFixtures() {}

    /**
     * Returns the worker that named a limit in an answer; stand-ins of workers begin their seals with their ids.
     *
     * @param head the status line and the header section of the answer, in lower case
     * @return the id of the worker, empty if the answer names no limit or has no seal
     */
    public static String limitedBy(String head) {
        int seal = head.indexOf(SEAL);
        if (seal < 0 || !head.contains(LIMIT)) {
            return "";
        }
        String rest = head.substring(seal + SEAL.length());
        return rest.substring(0, rest.indexOf('.'));
    }

    /**
     * Holds the addresses that a node listens on and the address of its store.
     *
     * @param host the IP address for callers, which is also that of the store
     * @param peerHost the IP address for other nodes
     * @param callerPort the port for callers
     * @param readyPort the port for readiness checks by the load balancer
     * @param peerPort the port for other nodes; the next port is also listed as internal
     * @param storePort the port of the store at {@code host}
     */
    public record Addresses(String host, String peerHost, int callerPort, int readyPort, int peerPort, int storePort) {}

    /**
     * Creates the content of the settings file of a node.
     *
     * @param name the name of the node
     * @param addresses the addresses of the node and its store
     * @param stopSeconds the grace period of a graceful shutdown, in seconds
     * @param seeds the hosts of the seed nodes
     * @return the settings in TOML
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
     * Creates the record of a route that allows one attempt.
     *
     * @param host the host that callers address
     * @param name the name of the route
     * @param prefix the path prefix of the route
     * @param kind the kind of work, such as {@code safe}, {@code unsafe} or {@code streaming}
     * @param service the name of the service that the route leads to
     * @param timeoutMillis the timeout of a request, in milliseconds
     * @return a new object, which the caller may modify
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
     * Creates one route for each kind of work: {@code /read/}, {@code /pay/}, {@code /talk/} and {@code /chat/}.
     *
     * @param host the host that callers address
     * @return the records of the routes
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
     * Creates a configuration with a plain service, a service of a model and one workspace.
     *
     * @param version the version of the configuration
     * @param routes the records of the routes
     * @param key the API key of the workspace
     * @return the record of the configuration
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
     * Creates the record of a worker.
     *
     * @param service the name of the service that the worker belongs to
     * @param address the address of the worker
     * @param slots the maximum number of concurrent requests
     * @param state the state of the worker, such as {@code ready}
     * @return the record of the worker
     */
    public static JsonObject worker(String service, String address, int slots, String state) {
        return worker(service, "v1", address, slots, state);
    }

    /**
     * Creates the record of a worker with a version of its software.
     *
     * @param service the name of the service that the worker belongs to
     * @param version the version of its software
     * @param address the address of the worker
     * @param slots the maximum number of concurrent requests
     * @param state the state of the worker, such as {@code ready}
     * @return the record of the worker
     */
    public static JsonObject worker(String service, String version, String address, int slots, String state) {
        return new JsonObject()
                .put("service", service)
                .put("address", address)
                .put("zone", "dc-1")
                .put("version", version)
                .put("slots", slots)
                .put("state", state)
                .put("born", 1_000L)
                .put("sequence", 1);
    }

    /**
     * Creates the headers of a caller's request, with a deadline of 5000 ms.
     *
     * @param key the API key of the caller
     * @param id the id of the request
     * @return the header values by header name
     */
    public static Map<String, String> callerHeaders(String key, String id) {
        return Map.of("Api-Key", key, "X-Request-Id", id, "X-Deadline-Ms", "5000");
    }

    /**
     * Creates the headers with which a caller takes up a stream after the last event that it has received.
     *
     * @param resumedId the id of the request that brought the first event
     * @param lastEventId the id of the last event
     * @return the header values by header name
     */
    public static Map<String, String> resumeHeaders(String resumedId, String lastEventId) {
        return Map.of("Resumes", resumedId, "Last-Event-Id", lastEventId);
    }

    /**
     * Creates the headers that describe a prompt with an answer of at most 40 tokens.
     *
     * @param shared the id of the shared prefix segment, of 200 tokens
     * @param own the id of the segment of this prompt alone, of 100 tokens
     * @return the header values by header name
     */
    public static Map<String, String> promptHeaders(String shared, String own) {
        return promptHeaders(shared, own, 40);
    }

    /**
     * Creates the headers that describe a prompt with an answer of a given length.
     *
     * @param shared the id of the shared prefix segment, of 200 tokens
     * @param own the id of the segment of this prompt alone, of 100 tokens
     * @param answerTokens the maximum length of the answer, in tokens
     * @return the header values by header name
     */
    public static Map<String, String> promptHeaders(String shared, String own, int answerTokens) {
        return Map.of("X-Token-Counts", "300," + answerTokens, "X-Prompt-Prefix", shared + ":200," + own + ":100");
    }

    /**
     * Creates the headers that describe a prompt of any parts.
     *
     * @param parts the ids of its parts and their sizes in tokens, as {@code ID:TOKENS}, separated by commas
     * @param answerTokens the maximum length of the answer, in tokens
     * @return the header values by header name
     */
    public static Map<String, String> partHeaders(String parts, int answerTokens) {
        return Map.of("X-Token-Counts", "300," + answerTokens, "X-Prompt-Prefix", parts);
    }
}
