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
 * Shares the capacity of workers with the other nodes of the data centre: asks each worker's home node for a share, and
 * grants shares of the workers whose home this node is. A home that does not answer leaves the adaptive limit.
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
     * Creates the exchange and registers its messages.
     *
     * @param members the live nodes of the data centre
     * @param transport sends messages between them
     * @param dispatcher the services whose workers are shared
     * @param time the clock
     * @param decisions the threads that run decisions
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

    /** Asks for the shares of all workers that this node uses; called on a decision thread at short intervals. */
    public void tick() {
        List<Member> live = members.liveMembers();
        if (live.size() < 2) {
            return;
        }
        dispatcher.eachService(service -> ask(service, live));
    }

    private void ask(ServiceDispatcher service, List<Member> live) {
        Map<String, Map<String, Long>> byHome = new HashMap<>();
        for (Upstream worker : service.upstreams()) {
            String homeId = Rendezvous.subset(worker.name(), live, Member::nodeId, 1)
                    .get(0)
                    .nodeId();
            byHome.computeIfAbsent(homeId, unknown -> new HashMap<>()).put(worker.name(), (long) worker.concurrency());
        }
        long weight = service.takeDemand();
        byHome.forEach((homeId, slots) -> ask(service, homeId, new CapacityDemand(weight, slots)));
    }

    private void ask(ServiceDispatcher service, String homeId, CapacityDemand demand) {
        if (homeId.equals(members.self().nodeId())) {
            granted(service, home.grant(homeId, demand));
            return;
        }
        transport
                .request(homeId, MessageTypes.CAPACITY_DEMAND, new Demand(demand).encode(), REQUEST_TIMEOUT_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof PeerReply.Answered answered) {
                        decisions.execute(() -> granted(
                                service, Grants.decode(answered.payload()).slots()));
                    }
                });
    }

    private void granted(ServiceDispatcher service, Map<String, Long> slots) {
        service.lease(slots, time.monotonicMillis() + CapacityHome.LEASE_MILLIS);
    }
}
