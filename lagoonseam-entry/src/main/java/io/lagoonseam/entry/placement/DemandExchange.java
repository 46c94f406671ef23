package io.lagoonseam.entry.placement;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.placement.ModelDemand;
import io.lagoonseam.wire.MessageTypes;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Adds up the demand that some nodes of the data centre have seen, since the balancer spreads requests over all. */
final class DemandExchange {

    private static final int ASKED_NODES = 8;
    private static final long TIMEOUT_MILLIS = 500;

    private final MemberDirectory directory;
    private final PeerTransport transport;
    private final ModelDemand own;
    private final Random random;
    private final Map<String, Double> heard = new ConcurrentHashMap<>();

    DemandExchange(MemberDirectory directory, PeerTransport transport, ModelDemand own, long seed) {
        this.directory = directory;
        this.transport = transport;
        this.own = own;
        this.random = new Random(seed);
        transport.register(
                MessageTypes.PLACEMENT_DEMAND,
                (sender, payload) -> CompletableFuture.completedFuture(encode(own.requestsPerSecond())));
    }

    /** Returns requests a second by model, of the nodes that were asked last and of this one. */
    Map<String, Double> demand() {
        Map<String, Double> sum = new HashMap<>(heard);
        own.requestsPerSecond().forEach((model, rate) -> sum.merge(model, rate, Double::sum));
        return sum;
    }

    /** Asks some nodes for what they have seen. */
    void refresh() {
        List<Member> others = new ArrayList<>(directory.liveMembers());
        others.removeIf(member -> member.nodeId().equals(directory.self().nodeId()));
        Collections.shuffle(others, random);
        List<CompletableFuture<PeerReply>> replies = others.stream()
                .limit(ASKED_NODES)
                .map(member -> transport
                        .request(member.nodeId(), MessageTypes.PLACEMENT_DEMAND, new byte[0], TIMEOUT_MILLIS)
                        .toCompletableFuture())
                .toList();
        CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new)).thenRun(() -> add(replies));
    }

    private void add(List<CompletableFuture<PeerReply>> replies) {
        Map<String, Double> sum = new HashMap<>();
        for (CompletableFuture<PeerReply> reply : replies) {
            if (reply.join() instanceof PeerReply.Answered answered) {
                decode(answered.payload()).forEach((model, rate) -> sum.merge(model, rate, Double::sum));
            }
        }
        heard.keySet().retainAll(sum.keySet());
        heard.putAll(sum);
    }

    private static byte[] encode(Map<String, Double> rates) {
        JsonObject json = new JsonObject();
        rates.forEach(json::put);
        return json.toBuffer().getBytes();
    }

    private static Map<String, Double> decode(byte[] payload) {
        JsonObject json = new JsonObject(Buffer.buffer(payload));
        Map<String, Double> rates = new HashMap<>();
        json.fieldNames().forEach(model -> rates.put(model, json.getDouble(model)));
        return rates;
    }
}
