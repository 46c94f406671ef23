package io.lagoonseam.entry.detour;

import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.reach.DetourPeers;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.DetourMessages.Answer;
import io.lagoonseam.wire.DetourMessages.Ask;
import io.lagoonseam.wire.MessageTypes;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Asks other nodes whether they reach the workers of a service, and answers such questions. Nothing is asked unless
 * this node is cut off and has requests. A node that is cut off itself names others that are not, so that even one node
 * among hundreds is found soon. Not thread-safe: all calls and callbacks run on one event loop.
 */
public final class DetourExchange {

    /** The number of nodes that are asked in a round while none is known that reaches the workers. */
    static final int WIDE_ROUND = 16;

    /** The number of nodes that are asked in a round besides those that are known. */
    static final int NARROW_ROUND = 2;

    private static final int MAX_KNOWN_ASKED = 6;
    private static final int MAX_NAMED = 3;
    private static final long ASK_TIMEOUT_MILLIS = 400;

    /** How long a service is asked about after its last request, in milliseconds. */
    private static final long ASKED_FOR_MILLIS = 2_000;

    /** How long is asked in vain until requests are told that there is no node, in milliseconds: two rounds. */
    static final long MAX_SEARCH_MILLIS = 500;

    /** How long requests are told so without asking once all nodes have answered, in milliseconds. */
    private static final long ALL_CUT_OFF_MILLIS = 250;

    private static final long NOT_SEARCHING = Long.MAX_VALUE;

    private final Environment environment;
    private final Map<String, Service> services = new HashMap<>();

    /**
     * What an exchange needs from its node.
     *
     * @param time the clocks
     * @param transport the transport between nodes
     * @param eventLoop runs the callbacks
     * @param random the source of random numbers
     * @param ownId the id of this node
     * @param others returns the ids of the other nodes
     * @param reach tells of a service by name whether this node reaches a worker now, and takes requests of others
     * @param inFlight returns the number of requests that this node has in flight for others
     */
    public record Environment(
            TimeSource time,
            PeerTransport transport,
            Executor eventLoop,
            Random random,
            String ownId,
            Supplier<List<String>> others,
            Function<String, CompletionStage<Boolean>> reach,
            IntSupplier inFlight) {}

    /** What is known of one service. */
    private static final class Service {
        private final String name;
        private final DetourPeers peers = new DetourPeers();
        private final List<Waiting> waiting = new ArrayList<>();
        private final List<String> notAsked = new ArrayList<>();
        private final Set<String> named = new LinkedHashSet<>();
        private long usedMillis;
        private int unanswered;
        private long searchingSinceMillis = NOT_SEARCHING;
        private long noneUntilMillis;
        private boolean askedAll;
        private boolean askedNamed;

        Service(String name) {
            this.name = name;
        }

        boolean noneAt(long nowMillis) {
            boolean inVain =
                    searchingSinceMillis != NOT_SEARCHING && nowMillis - searchingSinceMillis >= MAX_SEARCH_MILLIS;
            return inVain || nowMillis < noneUntilMillis;
        }
    }

    /** A request for which no known node is left. */
    private record Waiting(Set<String> excluded, long sinceMillis, CompletableFuture<Optional<String>> found) {}

    /**
     * Creates an exchange that has asked nothing.
     *
     * @param environment what it needs from its node
     */
    public DetourExchange(Environment environment) {
        this.environment = environment;
        environment
                .transport()
                .register(
                        MessageTypes.REACH_ASK,
                        (sender, payload) -> answer(Ask.decode(payload).service()));
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private CompletionStage<byte[]> answer(String name) {
        return environment.reach().apply(name).thenApply(reached -> {
            Service known = services.get(name);
            List<String> others = reached || known == null ? List.of() : known.peers.valid(nowMillis());
            return new Answer(
                            reached,
                            environment.inFlight().getAsInt(),
                            others.subList(0, Math.min(MAX_NAMED, others.size())))
                    .encode();
        });
    }

    /**
     * Finds a node through which a request can be sent.
     *
     * @param name the name of the service
     * @param excluded the ids of nodes that have not taken the request
     * @return the id of the node, empty if none is found; never fails
     */
    public CompletionStage<Optional<String>> find(String name, Set<String> excluded) {
        Service service = services.computeIfAbsent(name, Service::new);
        service.usedMillis = nowMillis();
        Optional<String> known = service.peers.choose(excluded, environment.random(), nowMillis());
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(known);
        }
        if (service.noneAt(nowMillis())
                || excluded.containsAll(environment.others().get())) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Waiting waiting = new Waiting(Set.copyOf(excluded), nowMillis(), new CompletableFuture<>());
        service.waiting.add(waiting);
        if (service.unanswered == 0) {
            ask(service);
        }
        return waiting.found();
    }

    /**
     * Records that a node has not taken a request, or that the connection to it failed.
     *
     * @param name the name of the service
     * @param peer the id of the node
     */
    public void notTaken(String name, String peer) {
        Service service = services.get(name);
        if (service != null) {
            service.peers.remove(peer);
        }
    }

    /** Asks again about the services that requests were lately sent through other nodes for; called each 250 ms. */
    public void tick() {
        long nowMillis = nowMillis();
        services.entrySet()
                .removeIf(entry -> entry.getValue().waiting.isEmpty()
                        && entry.getValue().unanswered == 0
                        && nowMillis - entry.getValue().usedMillis > ASKED_FOR_MILLIS);
        for (Service service : List.copyOf(services.values())) {
            service.askedNamed = false;
            if (service.noneAt(nowMillis)) {
                endWaiting(service);
            } else {
                endWaitingSince(service, nowMillis - MAX_SEARCH_MILLIS);
            }
            ask(service);
        }
    }

    private void ask(Service service) {
        Set<String> asked = selectAsked(service);
        service.askedAll =
                asked.size() == Set.copyOf(environment.others().get()).size();
        if (asked.isEmpty()) {
            endWaiting(service);
            return;
        }
        if (service.searchingSinceMillis == NOT_SEARCHING
                && service.peers.valid(nowMillis()).isEmpty()) {
            service.searchingSinceMillis = nowMillis();
        }
        service.unanswered += asked.size();
        byte[] question = new Ask(service.name).encode();
        for (String peer : asked) {
            environment
                    .transport()
                    .request(peer, MessageTypes.REACH_ASK, question, ASK_TIMEOUT_MILLIS)
                    .thenAcceptAsync(reply -> onReply(service, peer, reply), environment.eventLoop());
        }
    }

    /** Returns nodes that are known to reach the workers, ones that others named, and ones that were not asked yet. */
    private Set<String> selectAsked(Service service) {
        List<String> others = environment.others().get();
        List<String> known = service.peers.valid(nowMillis());
        Collections.shuffle(known, environment.random());
        Set<String> asked = new LinkedHashSet<>(known.subList(0, Math.min(MAX_KNOWN_ASKED, known.size())));
        service.named.stream().filter(others::contains).forEach(asked::add);
        service.named.clear();
        int more = known.isEmpty() || !service.waiting.isEmpty() ? WIDE_ROUND : NARROW_ROUND;
        for (int index = 0; index < more; index++) {
            if (service.notAsked.isEmpty()) {
                service.notAsked.addAll(others);
                Collections.shuffle(service.notAsked, environment.random());
            }
            if (!service.notAsked.isEmpty()) {
                asked.add(service.notAsked.remove(service.notAsked.size() - 1));
            }
        }
        asked.retainAll(others);
        return asked;
    }

    private void onReply(Service service, String peer, PeerReply reply) {
        Optional<Answer> answer = decode(reply);
        if (answer.isPresent() && answer.get().reached()) {
            service.peers.reaches(peer, answer.get().inFlight(), nowMillis());
            service.searchingSinceMillis = NOT_SEARCHING;
            serve(service);
        } else if (answer.isPresent()) {
            service.peers.remove(peer);
            answer.get().others().stream()
                    .filter(other -> !other.equals(environment.ownId()))
                    .limit(MAX_NAMED)
                    .forEach(service.named::add);
        }
        service.unanswered--;
        if (service.unanswered > 0) {
            return;
        }
        if (service.peers.valid(nowMillis()).isEmpty()) {
            onNoneFound(service);
        } else if (service.askedAll) {
            endWaiting(service);
        }
    }

    private static Optional<Answer> decode(PeerReply reply) {
        if (reply instanceof PeerReply.Answered answered) {
            try {
                return Optional.of(Answer.decode(answered.payload()));
            } catch (IllegalArgumentException e) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    private void serve(Service service) {
        for (Waiting waiting : List.copyOf(service.waiting)) {
            service.peers
                    .choose(waiting.excluded(), environment.random(), nowMillis())
                    .ifPresent(peer -> {
                        service.waiting.remove(waiting);
                        waiting.found().complete(Optional.of(peer));
                    });
        }
    }

    private void onNoneFound(Service service) {
        if (!service.named.isEmpty() && !service.askedNamed) {
            service.askedNamed = true;
            ask(service);
        } else if (service.askedAll) {
            service.noneUntilMillis = nowMillis() + ALL_CUT_OFF_MILLIS;
            endWaiting(service);
        }
    }

    private static void endWaiting(Service service) {
        endWaitingSince(service, Long.MAX_VALUE);
    }

    /** Ends the requests that have waited since a time or longer: no node is left that would take them. */
    private static void endWaitingSince(Service service, long latestMillis) {
        List<Waiting> ended = service.waiting.stream()
                .filter(waiting -> waiting.sinceMillis() <= latestMillis)
                .toList();
        service.waiting.removeAll(ended);
        ended.forEach(waiting -> waiting.found().complete(Optional.empty()));
    }
}
