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
     * Starts from defaults.
     *
     * @param nodeId the name of the node
     * @param dataCentre the data centre it is in
     * @param platformUrl the platform's address
     * @return a builder
     */
    public static Builder builder(String nodeId, String dataCentre, String platformUrl) {
        return new Builder(nodeId, dataCentre, platformUrl);
    }

    /**
     * Returns the name of the node.
     *
     * @return the name
     */
    public String nodeId() {
        return nodeId;
    }

    /**
     * Returns the data centre of the node.
     *
     * @return its name
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Returns where callers are served.
     *
     * @return the address
     */
    public ListenAddress callers() {
        return callers;
    }

    /**
     * Returns where operators read health, metrics and status.
     *
     * @return the address
     */
    public ListenAddress operators() {
        return operators;
    }

    /**
     * Returns where other nodes reach this one.
     *
     * @return the address
     */
    public ListenAddress peers() {
        return peers;
    }

    /**
     * Returns nodes to ask when the platform does not answer at the start.
     *
     * @return the nodes, often none
     */
    public List<PeerSeed> seeds() {
        return seeds;
    }

    /**
     * Returns the certificates for connections with other nodes.
     *
     * @return the files, or empty for plain connections
     */
    public Optional<TlsFiles> peerTls() {
        return peerTls;
    }

    /**
     * Returns the certificates for connections of callers.
     *
     * @return the files, or empty for plain connections
     */
    public Optional<TlsFiles> callerTls() {
        return callerTls;
    }

    /**
     * Returns the platform's address.
     *
     * @return a URL without a path
     */
    public String platformUrl() {
        return platformUrl;
    }

    /**
     * Returns the number of threads that run decisions.
     *
     * @return threads
     */
    public int workerThreads() {
        return workerThreads;
    }

    /**
     * Returns the largest body of a caller's request.
     *
     * @return bytes
     */
    public int bodyLimitBytes() {
        return bodyLimitBytes;
    }

    /**
     * Returns the time between failing readiness and refusing new requests at a stop.
     *
     * @return milliseconds
     */
    public long leaveNoticeMillis() {
        return leaveNoticeMillis;
    }

    /**
     * Returns the longest time that a stop waits for requests in flight.
     *
     * @return milliseconds
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
         * Sets where callers are served.
         *
         * @param value the address
         * @return this builder
         */
        public Builder callers(ListenAddress value) {
            this.callers = value;
            return this;
        }

        /**
         * Sets where operators read health, metrics and status.
         *
         * @param value the address
         * @return this builder
         */
        public Builder operators(ListenAddress value) {
            this.operators = value;
            return this;
        }

        /**
         * Sets where other nodes reach this one.
         *
         * @param value the address
         * @return this builder
         */
        public Builder peers(ListenAddress value) {
            this.peers = value;
            return this;
        }

        /**
         * Sets nodes to ask when the platform does not answer at the start.
         *
         * @param value the nodes
         * @return this builder
         */
        public Builder seeds(List<PeerSeed> value) {
            this.seeds = value;
            return this;
        }

        /**
         * Sets the certificates for connections with other nodes.
         *
         * @param value the files
         * @return this builder
         */
        public Builder peerTls(TlsFiles value) {
            this.peerTls = value;
            return this;
        }

        /**
         * Sets the certificates for connections of callers.
         *
         * @param value the files
         * @return this builder
         */
        public Builder callerTls(TlsFiles value) {
            this.callerTls = value;
            return this;
        }

        /**
         * Sets the number of threads that run decisions.
         *
         * @param value threads
         * @return this builder
         */
        public Builder workerThreads(int value) {
            this.workerThreads = value;
            return this;
        }

        /**
         * Sets the largest body of a caller's request.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder bodyLimitBytes(int value) {
            this.bodyLimitBytes = value;
            return this;
        }

        /**
         * Sets the time between failing readiness and refusing new requests at a stop.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder leaveNoticeMillis(long value) {
            this.leaveNoticeMillis = value;
            return this;
        }

        /**
         * Sets the longest time that a stop waits for requests in flight.
         *
         * @param value milliseconds
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
