package io.lagoonseam.core.limits;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/** Asks the home node of each workspace in use for this node's share of its limits, and answers others as a home. */
public final class LimitSharing {

    /** The time between two rounds of asking. */
    public static final long PERIOD_MILLIS = 1_000;

    private static final long ANSWER_TIMEOUT_MILLIS = 500;

    private final WorkspaceLimitTable table;
    private final LimitHome home;
    private final MemberDirectory members;
    private final PeerTransport transport;
    private final LimitCodec codec;
    private final int messageType;
    private final TimeSource time;
    private final EventSink events;

    /**
     * Creates the sharing of one node and registers its answers.
     *
     * @param table the limits that this node enforces
     * @param members the live nodes
     * @param transport the way to them
     * @param codec the codec of messages
     * @param messageType the number of the message's type
     * @param time the clock
     * @param events the sink of numbered events
     */
    public LimitSharing(
            WorkspaceLimitTable table,
            MemberDirectory members,
            PeerTransport transport,
            LimitCodec codec,
            int messageType,
            TimeSource time,
            EventSink events) {
        this.table = table;
        this.members = members;
        this.transport = transport;
        this.codec = codec;
        this.messageType = messageType;
        this.time = time;
        this.events = events;
        this.home = new LimitHome(table::limitsOf, this::liveNames);
        transport.register(messageType, this::answer);
    }

    private Set<String> liveNames() {
        return members.liveMembers().stream().map(Member::nodeId).collect(Collectors.toSet());
    }

    private CompletableFuture<byte[]> answer(String senderId, byte[] payload) {
        List<LimitDemand> demands = codec.decodeDemands(payload);
        return CompletableFuture.completedFuture(
                codec.encodeShares(home.grant(senderId, demands, time.monotonicMillis())));
    }

    /** Asks for shares; called once in {@link #PERIOD_MILLIS}. */
    public void round() {
        List<Member> live = members.liveMembers();
        table.setMembers(live.size());
        long nowMillis = time.monotonicMillis();
        Map<String, List<LimitDemand>> byHome = new HashMap<>();
        for (LimitDemand demand : table.takeDemands(PERIOD_MILLIS, nowMillis)) {
            byHome.computeIfAbsent(homeOf(demand.workspace(), live), node -> new ArrayList<>())
                    .add(demand);
        }
        byHome.forEach((node, demands) -> ask(node, demands, nowMillis));
    }

    private String homeOf(String workspace, List<Member> live) {
        return Rendezvous.subset(workspace, live, Member::nodeId, 1).stream()
                .findFirst()
                .map(Member::nodeId)
                .orElse(members.self().nodeId());
    }

    private void ask(String node, List<LimitDemand> demands, long askedAtMillis) {
        if (node.equals(members.self().nodeId())) {
            use(home.grant(node, demands, askedAtMillis), askedAtMillis);
            return;
        }
        transport
                .request(node, messageType, codec.encodeDemands(demands), ANSWER_TIMEOUT_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof PeerReply.Answered answered) {
                        use(codec.decodeShares(answered.payload()), askedAtMillis);
                        return;
                    }
                    events.record(EventCode.LIMIT_HOME_SILENT, node);
                    demands.forEach(demand -> table.homeSilent(demand.workspace(), time.monotonicMillis()));
                });
    }

    private void use(List<LimitShare> shares, long askedAtMillis) {
        shares.forEach(share -> table.use(share, askedAtMillis, time.monotonicMillis()));
    }
}
