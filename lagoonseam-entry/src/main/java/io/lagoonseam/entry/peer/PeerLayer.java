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

/** The part of a node that talks with other nodes: transport, members and the numbers that ride on probes. */
public final class PeerLayer {

    private static final long TICK_MILLIS = 50;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final Executor decisions;
    private final VertxPeerTransport transport;
    private final DefaultMemberDirectory directory;
    private final PiggybackRegistry piggybacks = new PiggybackRegistry();
    private final MemberRegistration registration;
    private final MemberFinder finder;
    private final Map<String, PeerAddress> learned = new ConcurrentHashMap<>();
    private String deploymentId;
    private long tickTimer = -1;

    /**
     * What a peer layer works with.
     *
     * @param vertx the Vert.x instance
     * @param settings the node's settings
     * @param platform the platform
     * @param decisions the threads that run decisions
     * @param time the clocks
     * @param registry the metrics
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
     * @param environment what it works with
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
        this.finder =
                new MemberFinder(vertx, directory, registration, seeds(), this::learn, environment.events(), seed + 1);
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
                .or(() -> Optional.ofNullable(learned.get(nodeId)));
    }

    /**
     * Makes the address of a node known that is no member here, such as one of another data centre.
     *
     * @param member the node
     */
    public void learn(Member member) {
        learned.put(member.nodeId(), new PeerAddress(member.host(), member.port()));
    }

    /**
     * Returns what sends to other nodes.
     *
     * @return the transport
     */
    public PeerTransport transport() {
        return transport;
    }

    /**
     * Returns the members of the data centre.
     *
     * @return the directory
     */
    public MemberDirectory members() {
        return directory;
    }

    /**
     * Returns all members that are known.
     *
     * @return the members, the dead among them
     */
    public List<Member> allMembers() {
        return directory.allMembers();
    }

    /**
     * Returns the numbers that ride on probes.
     *
     * @return the registry, to which sources are added before the start
     */
    public PiggybackRegistry piggybacks() {
        return piggybacks;
    }

    /**
     * Returns where the nodes of each data centre are registered.
     *
     * @return the registrations on the platform
     */
    public MemberRegistration registration() {
        return registration;
    }

    /**
     * Begins to listen, to look for members and to probe them.
     *
     * @return completes when this node listens
     */
    public Future<Void> start() {
        return vertx.deployVerticle(transport)
                .onSuccess(id -> {
                    deploymentId = id;
                    directory.open(transport.port());
                    tickTimer = vertx.setPeriodic(TICK_MILLIS, timer -> tick());
                    finder.start();
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
     * Returns the port that peers connect to.
     *
     * @return the port, once started
     */
    public int port() {
        return transport.port();
    }

    /**
     * Uses renewed certificates for new connections.
     *
     * @param files where they are
     * @return fails if they cannot be used
     */
    public Future<Void> renew(TlsFiles files) {
        return transport.renew(files);
    }

    /**
     * Announces that this node leaves and removes its registration. Peers are still answered.
     *
     * @return completes when some peers know it
     */
    public Future<Void> leave() {
        return Future.fromCompletionStage(directory.leave()).compose(told -> Future.fromCompletionStage(finder.stop()));
    }

    /**
     * Ends all connections.
     *
     * @return completes when this node does not listen any more
     */
    public Future<Void> close() {
        finder.halt();
        directory.close();
        vertx.cancelTimer(tickTimer);
        return deploymentId == null ? Future.succeededFuture() : vertx.undeploy(deploymentId);
    }
}
