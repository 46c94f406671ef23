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

/**
 * Requests this node's share of the limits of each workspace in use from the workspace's home node, and grants shares
 * to other nodes for the workspaces whose home is this node.
 */
public final class LimitSharing {

    /** Interval between two share requests, in ms. */
    public static final long PERIOD_MILLIS = 1_000;

    private static final long RESPONSE_TIMEOUT_MILLIS = 500;

    private final WorkspaceLimitTable table;
    private final LimitHome home;
    private final MemberDirectory members;
    private final PeerTransport transport;
    private final LimitCodec codec;
    private final int messageType;
    private final TimeSource time;
    private final EventSink events;

    /**
     * Creates the limit sharing of one node and registers its message handler.
     *
     * @param table the limits that this node enforces
     * @param members the directory of live nodes
     * @param transport the transport to other nodes
     * @param codec the codec of demands and shares
     * @param messageType the type number of the messages
     * @param time the clock
     * @param events the sink for events about unresponsive home nodes
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
        this.home = new LimitHome(table::limitsOf, this::liveNodeIds);
        transport.register(messageType, this::handleDemands);
    }

    private Set<String> liveNodeIds() {
        return members.liveMembers().stream().map(Member::nodeId).collect(Collectors.toSet());
    }

    private CompletableFuture<byte[]> handleDemands(String senderId, byte[] payload) {
        List<LimitDemand> demands = codec.decodeDemands(payload);
        return CompletableFuture.completedFuture(
                codec.encodeShares(home.grant(senderId, demands, time.monotonicMillis())));
    }

    /** Requests shares for the demand since the last call. Must be called once per {@link #PERIOD_MILLIS}. */
    public void requestShares() {
        List<Member> live = members.liveMembers();
        table.setNodeCount(live.size());
        long nowMillis = time.monotonicMillis();
        Map<String, List<LimitDemand>> byHome = new HashMap<>();
        for (LimitDemand demand : table.collectDemands(PERIOD_MILLIS, nowMillis)) {
            byHome.computeIfAbsent(homeOf(demand.workspace(), live), node -> new ArrayList<>())
                    .add(demand);
        }
        byHome.forEach((node, demands) -> sendDemands(node, demands, nowMillis));
    }

    private String homeOf(String workspace, List<Member> live) {
        return Rendezvous.subset(workspace, live, Member::nodeId, 1).stream()
                .findFirst()
                .map(Member::nodeId)
                .orElse(members.self().nodeId());
    }

    private void sendDemands(String node, List<LimitDemand> demands, long requestedAtMillis) {
        if (node.equals(members.self().nodeId())) {
            applyShares(home.grant(node, demands, requestedAtMillis), requestedAtMillis);
            return;
        }
        transport
                .request(node, messageType, codec.encodeDemands(demands), RESPONSE_TIMEOUT_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof PeerReply.Answered answered) {
                        applyShares(codec.decodeShares(answered.payload()), requestedAtMillis);
                        return;
                    }
                    events.record(EventCode.LIMIT_HOME_SILENT, node);
                    demands.forEach(demand -> table.capAtEqualShare(demand.workspace(), time.monotonicMillis()));
                });
    }

    private void applyShares(List<LimitShare> shares, long requestedAtMillis) {
        shares.forEach(share -> table.applyShare(share, requestedAtMillis, time.monotonicMillis()));
    }
}
