package io.lagoonseam.entry.settings;

import io.lagoonseam.entry.tls.TlsFiles;
import java.util.List;
import java.util.Optional;

/** The settings of one entry node. */
public final class EntrySettings {

    private final String nodeId;
    private final String dataCentre;
    private final ListenAddress callers;
    private final ListenAddress operators;
    private final ListenAddress peers;
    private final List<PeerSeed> seeds;
    private final Optional<TlsFiles> peerTls;
    private final Optional<TlsFiles> callerTls;
    private final String platformUrl;
    private final int workerThreads;
    private final int bodyLimitBytes;
    private final long leaveNoticeMillis;
    private final long stopDeadlineMillis;
    private final long seed;

    private EntrySettings(Builder builder) {
        this.nodeId = builder.nodeId;
        this.dataCentre = builder.dataCentre;
        this.callers = builder.callers;
        this.operators = builder.operators;
        this.peers = builder.peers;
        this.seeds = List.copyOf(builder.seeds);
        this.peerTls = Optional.ofNullable(builder.peerTls);
        this.callerTls = Optional.ofNullable(builder.callerTls);
        this.platformUrl = builder.platformUrl;
        this.workerThreads = builder.workerThreads;
        this.bodyLimitBytes = builder.bodyLimitBytes;
        this.leaveNoticeMillis = builder.leaveNoticeMillis;
        this.stopDeadlineMillis = builder.stopDeadlineMillis;
        this.seed = builder.seed;
    }

    /**
     * Creates a builder with default values.
     *
     * @param nodeId the id of the node
     * @param dataCentre the name of its data centre
     * @param platformUrl the URL of the platform, without a path
     * @return a builder
     */
    public static Builder builder(String nodeId, String dataCentre, String platformUrl) {
        return new Builder(nodeId, dataCentre, platformUrl);
    }

    /**
     * Returns the id of the node.
     *
     * @return the node id
     */
    public String nodeId() {
        return nodeId;
    }

    /**
     * Returns the data centre of the node.
     *
     * @return the name of the data centre
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the address on which callers are served.
     *
     * @return the listen address
     */
    public ListenAddress callers() {
        return callers;
    }

    /**
     * Returns the address on which operators read health, metrics and status.
     *
     * @return the listen address
     */
    public ListenAddress operators() {
        return operators;
    }

    /**
     * Returns the address on which other nodes reach this one.
     *
     * @return the listen address
     */
    public ListenAddress peers() {
        return peers;
    }

    /**
     * Returns the nodes that are asked for the members if the platform does not respond at the start.
     *
     * @return the nodes, often none
     */
    public List<PeerSeed> seeds() {
        return seeds;
    }

    /**
     * Returns the TLS files for connections with other nodes.
     *
     * @return the files, or empty for connections without TLS
     */
    public Optional<TlsFiles> peerTls() {
        return peerTls;
    }

    /**
     * Returns the TLS files for connections of callers.
     *
     * @return the files, or empty for connections without TLS
     */
    public Optional<TlsFiles> callerTls() {
        return callerTls;
    }

    /**
     * Returns the URL of the platform.
     *
     * @return a URL without a path
     */
    public String platformUrl() {
        return platformUrl;
    }

    /**
     * Returns the number of decision threads, which run routing decisions, the message handlers of peers, membership
     * and the configuration follower. They are unrelated to workers, the upstreams among which routing selects.
     *
     * @return the number of threads
     */
    public int workerThreads() {
        return workerThreads;
    }

    /**
     * Returns the maximum size of the body of a caller's request.
     *
     * @return the size in bytes
     */
    public int bodyLimitBytes() {
        return bodyLimitBytes;
    }

    /**
     * Returns the time between failing readiness and refusing new requests in a graceful shutdown.
     *
     * @return the time in milliseconds
     */
    public long leaveNoticeMillis() {
        return leaveNoticeMillis;
    }

    /**
     * Returns the time limit of a graceful shutdown. It applies to the hand-over first, and again in full to the
     * requests in flight once the hand-over and the leave notice have ended.
     *
     * @return the time in milliseconds
     */
    public long stopDeadlineMillis() {
        return stopDeadlineMillis;
    }

    /**
     * Returns the seed of the node's random choices.
     *
     * @return the seed
     */
    public long seed() {
        return seed;
    }

    /** Builds {@link EntrySettings}. */
    public static final class Builder {

        private final String nodeId;
        private final String dataCentre;
        private final String platformUrl;
        private ListenAddress callers = new ListenAddress("127.0.0.1", 0);
        private ListenAddress operators = new ListenAddress("127.0.0.1", 0);
        private ListenAddress peers = new ListenAddress("127.0.0.1", 0);
        private List<PeerSeed> seeds = List.of();
        private TlsFiles peerTls;
        private TlsFiles callerTls;
        private int workerThreads = 2;
        private int bodyLimitBytes = 1_000_000;
        private long leaveNoticeMillis = 500;
        private long stopDeadlineMillis = 30_000;
        private long seed = 1;

        private Builder(String nodeId, String dataCentre, String platformUrl) {
            this.nodeId = nodeId;
            this.dataCentre = dataCentre;
            this.platformUrl = platformUrl;
        }

        /**
         * Sets the address on which callers are served.
         *
         * @param value the listen address
         * @return this builder
         */
        public Builder callers(ListenAddress value) {
            this.callers = value;
            return this;
        }

        /**
         * Sets the address on which operators read health, metrics and status.
         *
         * @param value the listen address
         * @return this builder
         */
        public Builder operators(ListenAddress value) {
            this.operators = value;
            return this;
        }

        /**
         * Sets the address on which other nodes reach this one.
         *
         * @param value the listen address
         * @return this builder
         */
        public Builder peers(ListenAddress value) {
            this.peers = value;
            return this;
        }

        /**
         * Sets the nodes that are asked for the members if the platform does not respond at the start.
         *
         * @param value the nodes
         * @return this builder
         */
        public Builder seeds(List<PeerSeed> value) {
            this.seeds = value;
            return this;
        }

        /**
         * Sets the TLS files for connections with other nodes.
         *
         * @param value the files, or null for connections without TLS
         * @return this builder
         */
        public Builder peerTls(TlsFiles value) {
            this.peerTls = value;
            return this;
        }

        /**
         * Sets the TLS files for connections of callers.
         *
         * @param value the files, or null for connections without TLS
         * @return this builder
         */
        public Builder callerTls(TlsFiles value) {
            this.callerTls = value;
            return this;
        }

        /**
         * Sets the number of decision threads, which run routing decisions, the message handlers of peers, membership
         * and the configuration follower. They are unrelated to workers, the upstreams among which routing selects.
         *
         * @param value the number of threads
         * @return this builder
         */
        public Builder workerThreads(int value) {
            this.workerThreads = value;
            return this;
        }

        /**
         * Sets the maximum size of the body of a caller's request.
         *
         * @param value the size in bytes
         * @return this builder
         */
        public Builder bodyLimitBytes(int value) {
            this.bodyLimitBytes = value;
            return this;
        }

        /**
         * Sets the time between failing readiness and refusing new requests in a graceful shutdown.
         *
         * @param value the time in milliseconds
         * @return this builder
         */
        public Builder leaveNoticeMillis(long value) {
            this.leaveNoticeMillis = value;
            return this;
        }

        /**
         * Sets the time limit of a graceful shutdown. It applies to the hand-over first, and again in full to the
         * requests in flight once the hand-over and the leave notice have ended.
         *
         * @param value the time in milliseconds
         * @return this builder
         */
        public Builder stopDeadlineMillis(long value) {
            this.stopDeadlineMillis = value;
            return this;
        }

        /**
         * Sets the seed of the node's random choices.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            this.seed = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public EntrySettings build() {
            return new EntrySettings(this);
        }
    }
}
