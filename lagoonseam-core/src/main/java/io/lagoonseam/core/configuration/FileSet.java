package io.lagoonseam.core.configuration;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The operators' complete set of configuration files as immutable documents, indexed by kind and name. */
public final class FileSet {

    private final Map<String, Workspace> workspaces;
    private final Map<String, ApiKey> keys;
    private final Map<String, RequestClass> classes;
    private final Map<String, ServiceLevel> serviceLevels;
    private final Map<String, Service> services;
    private final Map<String, Upstream> upstreams;
    private final Map<String, Model> models;
    private final Map<String, Limits> limits;
    private final Map<String, Retention> retentions;

    private FileSet(Builder builder) {
        this.workspaces = Map.copyOf(builder.workspaces);
        this.keys = Map.copyOf(builder.keys);
        this.classes = Collections.unmodifiableMap(new LinkedHashMap<>(builder.classes));
        this.serviceLevels = Map.copyOf(builder.serviceLevels);
        this.services = Map.copyOf(builder.services);
        this.upstreams = Map.copyOf(builder.upstreams);
        this.models = Map.copyOf(builder.models);
        this.limits = Map.copyOf(builder.limits);
        this.retentions = Map.copyOf(builder.retentions);
    }

    /**
     * Returns a builder of an empty file set.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the workspaces.
     *
     * @return workspaces by name
     */
    public Map<String, Workspace> workspaces() {
        return workspaces;
    }

    /**
     * Returns the bearer keys.
     *
     * @return keys by their public part
     */
    public Map<String, ApiKey> keys() {
        return keys;
    }

    /**
     * Returns the request classes.
     *
     * @return classes by name, in the order of the files
     */
    public Map<String, RequestClass> classes() {
        return classes;
    }

    /**
     * Returns the service levels.
     *
     * @return service levels by name
     */
    public Map<String, ServiceLevel> serviceLevels() {
        return serviceLevels;
    }

    /**
     * Returns the services.
     *
     * @return services by name
     */
    public Map<String, Service> services() {
        return services;
    }

    /**
     * Returns the upstreams.
     *
     * @return upstreams by name
     */
    public Map<String, Upstream> upstreams() {
        return upstreams;
    }

    /**
     * Returns the models.
     *
     * @return models by name
     */
    public Map<String, Model> models() {
        return models;
    }

    /**
     * Returns the limits.
     *
     * @return limits by name
     */
    public Map<String, Limits> limits() {
        return limits;
    }

    /**
     * Returns the retention rules.
     *
     * @return retention rules by name
     */
    public Map<String, Retention> retentions() {
        return retentions;
    }

    private List<Object> contents() {
        // The classes are compared as a list, so that a change of their order is a difference.
        return List.of(
                workspaces,
                keys,
                List.copyOf(classes.values()),
                serviceLevels,
                services,
                upstreams,
                models,
                limits,
                retentions);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FileSet fileSet && contents().equals(fileSet.contents());
    }

    @Override
    public int hashCode() {
        return contents().hashCode();
    }

    /** Builds a {@link FileSet}. A document whose name is already used within its kind is not added. */
    public static final class Builder {

        private Map<String, Workspace> workspaces = new LinkedHashMap<>();
        private Map<String, ApiKey> keys = new LinkedHashMap<>();
        private Map<String, RequestClass> classes = new LinkedHashMap<>();
        private Map<String, ServiceLevel> serviceLevels = new LinkedHashMap<>();
        private Map<String, Service> services = new LinkedHashMap<>();
        private Map<String, Upstream> upstreams = new LinkedHashMap<>();
        private Map<String, Model> models = new LinkedHashMap<>();
        private Map<String, Limits> limits = new LinkedHashMap<>();
        private Map<String, Retention> retentions = new LinkedHashMap<>();

        private Builder() {}

        /**
         * Reuses the documents of some kinds from another file set. No documents may be added to these kinds
         * afterwards.
         *
         * @param base the file set whose documents are reused
         * @param isShared returns whether to reuse the documents of a kind, given the name of the kind
         * @return this builder
         */
        public Builder share(FileSet base, Predicate<String> isShared) {
            workspaces = isShared.test("Workspace") ? base.workspaces : workspaces;
            keys = isShared.test("Key") ? base.keys : keys;
            classes = isShared.test("RequestClass") ? base.classes : classes;
            serviceLevels = isShared.test("ServiceLevel") ? base.serviceLevels : serviceLevels;
            services = isShared.test("Service") ? base.services : services;
            upstreams = isShared.test("Upstream") ? base.upstreams : upstreams;
            models = isShared.test("Model") ? base.models : models;
            limits = isShared.test("Limits") ? base.limits : limits;
            retentions = isShared.test("Retention") ? base.retentions : retentions;
            return this;
        }

        /**
         * Adds a workspace.
         *
         * @param value the workspace
         * @return true if added, false if its name is already used
         */
        public boolean add(Workspace value) {
            return workspaces.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Adds a bearer key.
         *
         * @param value the key
         * @return true if added, false if its name is already used
         */
        public boolean add(ApiKey value) {
            return keys.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Adds a request class.
         *
         * @param value the class
         * @return true if added, false if its name is already used
         */
        public boolean add(RequestClass value) {
            return classes.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Adds a service level.
         *
         * @param value the service level
         * @return true if added, false if its name is already used
         */
        public boolean add(ServiceLevel value) {
            return serviceLevels.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Adds a service.
         *
         * @param value the service
         * @return true if added, false if its name is already used
         */
        public boolean add(Service value) {
            return services.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Adds an upstream.
         *
         * @param value the upstream
         * @return true if added, false if its name is already used
         */
        public boolean add(Upstream value) {
            return upstreams.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Adds a model.
         *
         * @param value the model
         * @return true if added, false if its name is already used
         */
        public boolean add(Model value) {
            return models.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Adds limits.
         *
         * @param value the limits
         * @return true if added, false if their name is already used
         */
        public boolean add(Limits value) {
            return limits.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Adds a retention rule.
         *
         * @param value the rule
         * @return true if added, false if its name is already used
         */
        public boolean add(Retention value) {
            return retentions.putIfAbsent(value.name(), value) == null;
        }

        /**
         * Builds the file set.
         *
         * @return the file set
         */
        public FileSet build() {
            return new FileSet(this);
        }
    }
}
