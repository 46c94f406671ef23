package io.lagoonseam.core.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the configuration for forwarding: routes, services, limits and keys. */
public final class RoutingConfiguration {

    private final long version;
    private final RouteTable routes;
    private final Map<String, ForwardService> services;
    private final CallerLimits limits;
    private final Map<String, KeyWorkspace> workspacesByKey;
    private final boolean keyed;
    private final LatencyLanes lanes;
    private final RequestRanks ranks;

    private RoutingConfiguration(Builder builder) {
        this.version = builder.version;
        this.routes = builder.routes;
        this.services = Map.copyOf(builder.services);
        this.limits = builder.limits;
        this.workspacesByKey = Map.copyOf(builder.workspacesByKey);
        this.keyed = builder.keyed;
        this.lanes = new LatencyLanes(routes.all());
        this.ranks = new RequestRanks(routes.all(), workspacesByKey.values());
    }

    /**
     * Returns a new builder.
     *
     * @param version the version of the configuration; later versions are higher
     * @return the builder
     */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /**
     * Returns the version.
     *
     * @return a number that increases with each version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the routes.
     *
     * @return the table
     */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Returns the lanes of the routes.
     *
     * @return the lanes
     */
    public LatencyLanes lanes() {
        return lanes;
    }

    /**
     * Returns the ranks of requests.
     *
     * @return the ranks
     */
    public RequestRanks ranks() {
        return ranks;
    }

    /**
     * Returns a service.
     *
     * @param name its name
     * @return the service, or empty if there is none of that name
     */
    public Optional<ForwardService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all services.
     *
     * @return the services by name
     */
    public Map<String, ForwardService> services() {
        return services;
    }

    /**
     * Returns the workspaces of all keys.
     *
     * @return the workspaces by key
     */
    public Map<String, KeyWorkspace> workspacesByKey() {
        return workspacesByKey;
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns whether requests need a key, unless their route is anonymous.
     *
     * @return true if the configuration names workspaces
     */
    public boolean requiresKeys() {
        return keyed;
    }

    /**
     * Finds the workspace that a key belongs to.
     *
     * @param key the key as the caller sent it
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<KeyWorkspace> workspaceOf(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /** Builds a {@link RoutingConfiguration}. */
    public static final class Builder {

        private final long version;
        private RouteTable routes = new RouteTable(List.of());
        private Map<String, ForwardService> services = Map.of();
        private CallerLimits limits = CallerLimits.DEFAULT;
        private Map<String, KeyWorkspace> workspacesByKey = Map.of();
        private boolean keyed;

        private Builder(long version) {
            this.version = version;
        }

        /**
         * Sets the routes.
         *
         * @param value the table
         * @return this builder
         */
        public Builder routes(RouteTable value) {
            this.routes = value;
            return this;
        }

        /**
         * Sets the services.
         *
         * @param value the services by name
         * @return this builder
         */
        public Builder services(Map<String, ForwardService> value) {
            this.services = value;
            return this;
        }

        /**
         * Sets the limits on callers' requests.
         *
         * @param value the limits
         * @return this builder
         */
        public Builder limits(CallerLimits value) {
            this.limits = value;
            return this;
        }

        /**
         * Sets the workspaces. Requests then need a key unless their route is anonymous.
         *
         * @param value the workspaces by key
         * @return this builder
         */
        public Builder workspaces(Map<String, KeyWorkspace> value) {
            this.workspacesByKey = value;
            this.keyed = true;
            return this;
        }

        /**
         * Builds the configuration.
         *
         * @return the configuration
         */
        public RoutingConfiguration build() {
            return new RoutingConfiguration(this);
        }
    }
}
