package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.routing.CapacityDemand;
import io.lagoonseam.core.routing.CapacityHome;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.RoutingMessages.Demand;
import io.lagoonseam.wire.RoutingMessages.Grants;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Divides the capacity of workers between the nodes of the data centre with leases: requests a lease on each worker's
 * slots from the worker's home node, and grants leases on the workers whose home is this node. If a home node does not
 * answer, only the adaptive limit bounds the requests to its workers once the last lease has expired.
 */
public final class CapacityExchange {

    private static final long REQUEST_TIMEOUT_MILLIS = 200;

    private final MemberDirectory members;
    private final PeerTransport transport;
    private final Dispatcher dispatcher;
    private final CapacityHome home;
    private final TimeSource time;
    private final Executor decisions;

    /**
     * Creates an exchange and registers its handler for capacity demands.
     *
     * @param members the live nodes of the data centre
     * @param transport the transport for messages between those nodes
     * @param dispatcher the dispatcher whose services share their workers
     * @param time the clock
     * @param decisions the executor of decisions
     */
    public CapacityExchange(
            MemberDirectory members,
            PeerTransport transport,
            Dispatcher dispatcher,
            TimeSource time,
            Executor decisions) {
        this.members = members;
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.time = time;
        this.decisions = decisions;
        this.home = new CapacityHome(time);
        transport.register(
                MessageTypes.CAPACITY_DEMAND,
                (sender, payload) -> CompletableFuture.supplyAsync(
                        () -> new Grants(home.grant(
                                        sender, Demand.decode(payload).demand()))
                                .encode(),
                        decisions));
    }

    /**
     * Requests leases on all workers that this node uses. Called periodically on a decision thread. Does nothing if
     * this is the only live node.
     */
    public void tick() {
        List<Member> live = members.liveMembers();
        if (live.size() < 2) {
            return;
        }
        dispatcher.eachService(service -> requestLeases(service, live));
    }

    private void requestLeases(ServiceDispatcher service, List<Member> live) {
        Map<String, Map<String, Long>> byHome = new HashMap<>();
        for (Upstream worker : service.upstreams()) {
            String homeId = Rendezvous.subset(worker.name(), live, Member::nodeId, 1)
                    .get(0)
                    .nodeId();
            byHome.computeIfAbsent(homeId, ignored -> new HashMap<>()).put(worker.name(), (long) worker.concurrency());
        }
        long weight = service.takeDemandWeight();
        byHome.forEach((homeId, slots) -> requestLease(service, homeId, new CapacityDemand(weight, slots)));
    }

    private void requestLease(ServiceDispatcher service, String homeId, CapacityDemand demand) {
        if (homeId.equals(members.self().nodeId())) {
            applyLeases(service, home.grant(homeId, demand));
            return;
        }
        transport
                .request(homeId, MessageTypes.CAPACITY_DEMAND, new Demand(demand).encode(), REQUEST_TIMEOUT_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof PeerReply.Answered answered) {
                        decisions.execute(() -> applyLeases(
                                service, Grants.decode(answered.payload()).slots()));
                    }
                });
    }

    private void applyLeases(ServiceDispatcher service, Map<String, Long> slots) {
        service.lease(slots, time.monotonicMillis() + CapacityHome.LEASE_MILLIS);
    }
}
