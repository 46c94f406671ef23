package io.lagoonseam.entry.peer;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.membership.DefaultMemberDirectory;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.membership.MembershipEnvironment;
import io.lagoonseam.core.membership.MembershipTimings;
import io.lagoonseam.core.membership.PiggybackRegistry;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.entry.tls.TlsFiles;
import io.lagoonseam.wire.MessagePackMembershipCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** The communication of a node with other nodes: transport, membership and the values piggybacked on probes. */
public final class PeerLayer {

    private static final long TICK_MILLIS = 50;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final Executor decisions;
    private final VertxPeerTransport transport;
    private final DefaultMemberDirectory directory;
    private final PiggybackRegistry piggybacks = new PiggybackRegistry();
    private final MemberRegistration registration;
    private final MemberDiscovery discovery;
    private final Map<String, PeerAddress> recordedAddresses = new ConcurrentHashMap<>();
    private String deploymentId;
    private long tickTimer = -1;

    /**
     * The settings and collaborators of a peer layer.
     *
     * @param vertx the Vert.x instance
     * @param settings the node's settings
     * @param platform the object store of the platform
     * @param decisions the threads that run decisions
     * @param time the wall clock and the monotonic clock
     * @param registry the registry of the node's metrics
     * @param events the sink of numbered events
     */
    public record Environment(
            Vertx vertx,
            EntrySettings settings,
            ObjectStore platform,
            Executor decisions,
            TimeSource time,
            MetricRegistry registry,
            EventSink events) {}

    /**
     * Creates a peer layer that is not started.
     *
     * @param environment the settings and collaborators
     */
    public PeerLayer(Environment environment) {
        this.vertx = environment.vertx();
        this.settings = environment.settings();
        this.decisions = environment.decisions();
        this.transport = new VertxPeerTransport(new PeerTransportOptions(
                settings.nodeId(),
                settings.peers(),
                settings.peerTls(),
                this::resolve,
                decisions,
                environment.time(),
                environment.registry(),
                environment.events()));
        Member self = new Member(
                settings.nodeId(),
                settings.dataCentre(),
                settings.peers().host(),
                settings.peers().port(),
                environment.time().wallMillis(),
                MemberState.ALIVE);
        long seed = settings.seed() * 31 + settings.nodeId().hashCode();
        this.directory = new DefaultMemberDirectory(
                self,
                new MembershipEnvironment(
                        transport,
                        new MessagePackMembershipCodec(),
                        piggybacks,
                        environment.time(),
                        new Random(seed),
                        environment.events(),
                        MembershipTimings.standard()));
        this.registration = new MemberRegistration(environment.platform());
        this.discovery = new MemberDiscovery(
                vertx, directory, registration, seeds(), this::recordAddress, environment.events(), seed + 1);
    }

    private List<Member> seeds() {
        return settings.seeds().stream()
                .map(seed -> new Member(
                        seed.nodeId(), settings.dataCentre(), seed.host(), seed.port(), 0, MemberState.ALIVE))
                .toList();
    }

    private Optional<PeerAddress> resolve(String nodeId) {
        return directory
                .find(nodeId)
                .map(member -> new PeerAddress(member.host(), member.port()))
                .or(() -> Optional.ofNullable(recordedAddresses.get(nodeId)));
    }

    /**
     * Records the address of a node that is not in the member directory, such as a node of another data centre.
     *
     * @param member the node and its peer address
     */
    public void recordAddress(Member member) {
        recordedAddresses.put(member.nodeId(), new PeerAddress(member.host(), member.port()));
    }

    /**
     * Returns the transport that sends requests to other nodes.
     *
     * @return the transport
     */
    public PeerTransport transport() {
        return transport;
    }

    /**
     * Returns the members of the data centre.
     *
     * @return the member directory
     */
    public MemberDirectory members() {
        return directory;
    }

    /**
     * Returns all known members.
     *
     * @return the members, including dead ones
     */
    public List<Member> allMembers() {
        return directory.allMembers();
    }

    /**
     * Returns the registry of values that are piggybacked on probes.
     *
     * @return the registry; sources must be added before {@link #start}
     */
    public PiggybackRegistry piggybacks() {
        return piggybacks;
    }

    /**
     * Returns the registrations of the nodes of each data centre.
     *
     * @return the registrations on the platform
     */
    public MemberRegistration registration() {
        return registration;
    }

    /**
     * Starts to accept connections, to discover members and to probe them.
     *
     * @return completes when this node accepts connections
     */
    public Future<Void> start() {
        return vertx.deployVerticle(transport)
                .onSuccess(id -> {
                    deploymentId = id;
                    directory.open(transport.port());
                    tickTimer = vertx.setPeriodic(TICK_MILLIS, timer -> tick());
                    discovery.start();
                })
                .mapEmpty();
    }

    private void tick() {
        try {
            decisions.execute(directory::tick);
        } catch (RejectedExecutionException e) {
            vertx.cancelTimer(tickTimer);
        }
    }

    /**
     * Returns the TCP port that peers connect to.
     *
     * @return the port, or 0 before the start
     */
    public int port() {
        return transport.port();
    }

    /**
     * Uses renewed certificates for new connections.
     *
     * @param files the files of certificates and keys
     * @return fails if the files cannot be used; the previous certificates then stay in use
     */
    public Future<Void> renewCertificates(TlsFiles files) {
        return transport.renewCertificates(files);
    }

    /**
     * Announces that this node is leaving and removes its registration. Requests of peers are still answered.
     *
     * @return completes when the announcement to several peers and the removal have succeeded or failed
     */
    public Future<Void> leave() {
        return Future.fromCompletionStage(directory.leave())
                .compose(announced -> Future.fromCompletionStage(discovery.stop()));
    }

    /**
     * Closes all connections and the listening port.
     *
     * @return completes when this node no longer accepts connections
     */
    public Future<Void> close() {
        discovery.halt();
        directory.close();
        vertx.cancelTimer(tickTimer);
        return deploymentId == null ? Future.succeededFuture() : vertx.undeploy(deploymentId);
    }
}
