import java.util.List;
import java.util.Map;

/** The manifest that the cases write: one service, one key, and the limits of the sites. */
final class Manifest {

    static final String KEY = "key-1";
    static final String HOST = "shop.example";

    private Manifest() {}

    static Map<String, Object> route(
            String name, String prefix, String kind, long timeoutMillis, long targetMillis, int attempts) {
        return Json.of(
                "name", name,
                "host", HOST,
                "path_prefix", prefix,
                "kind", kind,
                "timeout_ms", timeoutMillis,
                "target_latency_ms", targetMillis,
                "priority", 2,
                "service", "app",
                "max_attempts", attempts,
                "allow_anonymous", false);
    }

    static Map<String, Object> of(long version, int maxConnections, List<Object> routes) {
        return Json.of(
                "version", version,
                "routes", routes,
                "services",
                        List.of(Json.of(
                                "name", "app", "health_path", "/health", "max_connections", maxConnections, "protocol",
                                "h1", "tls", false)),
                "limits",
                        Json.of(
                                "max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
                                "idle_timeout_ms", 15000),
                "tenants", List.of(Json.of("name", "tenant-1", "api_keys", List.of(KEY))));
    }
}
