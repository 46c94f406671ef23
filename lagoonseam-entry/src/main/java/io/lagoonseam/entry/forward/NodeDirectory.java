package io.lagoonseam.entry.forward;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.entry.peer.PeerAddress;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.store.CollectionFollower;
import io.lagoonseam.entry.store.CollectionObject;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.StoreResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.IntConsumer;

/**
 * Keeps the nodes of the deployment by their addresses. Each node registers itself in the store; while the store is
 * unavailable, nodes are learned from the state exchange. A registration does not expire by itself: nodes remove the
 * registration of a node that has been unresponsive for long, and that node writes it again if it still runs.
 */
final class NodeDirectory implements CollectionFollower.Listener {

    private static final String HOST = "host";
    private static final String PORT = "port";
    private static final String CAPACITY = "cpu_millicores";

    /** How long a node counts as alive after its last message, in milliseconds: 16 rounds of the state exchange. */
    private static final long ALIVE_MILLIS = 4_000;

    /** How long a node must have been unresponsive before its registration is removed, in milliseconds. */
    private static final long REGISTRATION_EXPIRY_MILLIS = 600_000;

    /** Backoff after the first failed registration, in milliseconds; it doubles up to {@link #MAX_BACKOFF_MILLIS}. */
    private static final long INITIAL_BACKOFF_MILLIS = 200;

    private static final long MAX_BACKOFF_MILLIS = 2_000;

    /** The time over which nodes spread the calls that write missing registrations again, in milliseconds. */
    private static final long REGISTRATION_SPREAD_MILLIS = 1_500;

    private final ForwardEnvironment environment;
    private final CollectionStore store;
    private final PeerAddress ownAddress;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, String> idByName = new HashMap<>();
    private final IntConsumer onAliveCount;
    private final StoreReachability storeReachability;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private final Map<String, Integer> capacityByName = new TreeMap<>();
    private Map<String, Integer> capacities = Map.of();
    private boolean listed;
    private boolean registeredBefore;
    private boolean deregistered;

    private static final class Node {
        private final PeerAddress address;
        private long lastMessageMillis;
        private boolean suspected;

        Node(PeerAddress address, long nowMillis) {
            this.address = address;
            this.lastMessageMillis = nowMillis;
        }
    }

    NodeDirectory(ForwardEnvironment environment, CollectionStore store, IntConsumer onAliveCount) {
        this.environment = environment;
        this.store = store;
        this.onAliveCount = onAliveCount;
        this.storeReachability = new StoreReachability(environment.events());
        NodeSettings settings = environment.settings();
        this.ownAddress =
                new PeerAddress(settings.peers().host(), settings.peers().port());
        addSeeds();
    }

    /** Adds the seed nodes of the settings in force. */
    void addSeeds() {
        environment.settings().seedHosts().forEach(host -> addIfAbsent(new PeerAddress(host, ownAddress.port())));
    }

    /** Returns the id under which other nodes know a node: the host and port that it listens on for them. */
    static String id(PeerAddress address) {
        return address.host() + ":" + address.port();
    }

    /** Returns the host in the id of a node. */
    static String host(String id) {
        return id.substring(0, id.lastIndexOf(':'));
    }

    private static Optional<PeerAddress> parse(String id) {
        int colon = id.lastIndexOf(':');
        try {
            String host = id.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(id.substring(colon + 1));
            return isConnectable(host, port) ? Optional.of(new PeerAddress(host, port)) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static boolean isConnectable(String host, int port) {
        return new ListenAddress(host, port).isConnectable();
    }

    String ownId() {
        return id(ownAddress);
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private void addIfAbsent(PeerAddress address) {
        if (!address.equals(ownAddress)) {
            nodes.computeIfAbsent(id(address), key -> new Node(address, nowMillis()));
        }
    }

    /** Writes the registration of this node, and retries until the store has accepted it. */
    private void register() {
        if (deregistered) {
            return;
        }
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put(HOST, ownAddress.host())
                .put(PORT, ownAddress.port())
                .put(CAPACITY, environment.settings().resources().cpuMillicores());
        store.put(CollectionStore.NODES, environment.settings().nodeName(), content)
                .onSuccess(result -> {
                    if (result instanceof StoreResult.Objects) {
                        backoffMillis = INITIAL_BACKOFF_MILLIS;
                        return;
                    }
                    environment.events().record(EventCode.REGISTRATION_FAILED, String.valueOf(result));
                    long delayMillis = Math.round(
                            backoffMillis * (0.5 + environment.random().nextDouble()));
                    backoffMillis = Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS);
                    environment.vertx().setTimer(Math.max(1, delayMillis), timer -> register());
                });
    }

    /**
     * Writes the registration of this node, at once the first time. Later many nodes may be missing in the store at the
     * same time, since it was restored from a copy, and spread their calls.
     */
    private void registerAgain() {
        if (!registeredBefore) {
            registeredBefore = true;
            register();
            return;
        }
        long delayMillis =
                1 + (long) (REGISTRATION_SPREAD_MILLIS * environment.random().nextDouble());
        environment.vertx().setTimer(delayMillis, timer -> register());
    }

    /** Removes the registration of this node from the store. */
    void deregister() {
        deregistered = true;
        store.remove(CollectionStore.NODES, environment.settings().nodeName());
    }

    /**
     * Returns the ids of the nodes to contact: all that are alive, and one of the unresponsive ones. Where homes place
     * requests, messages between two nodes are too rare to tell, and all nodes are returned.
     */
    List<String> peers(Random random) {
        if (homesPlace()) {
            return List.copyOf(nodes.keySet());
        }
        List<String> targets = new ArrayList<>();
        List<String> unresponsive = new ArrayList<>();
        nodes.forEach((id, node) -> (isAlive(node) ? targets : unresponsive).add(id));
        if (!unresponsive.isEmpty()) {
            targets.add(unresponsive.get(random.nextInt(unresponsive.size())));
        }
        return targets;
    }

    private int aliveCount() {
        return 1 + (int) nodes.values().stream().filter(this::isAlive).count();
    }

    Optional<PeerAddress> address(String id) {
        return Optional.ofNullable(nodes.get(id)).map(node -> node.address);
    }

    /** Records a message from a node; adds the node if it is unknown. */
    void onMessage(String id) {
        Node node = nodes.get(id);
        if (node == null) {
            parse(id).ifPresent(address -> {
                environment.events().record(EventCode.MEMBER_ALIVE, id);
                addIfAbsent(address);
            });
        } else {
            node.lastMessageMillis = nowMillis();
            if (node.suspected) {
                node.suspected = false;
                environment.events().record(EventCode.MEMBER_ALIVE, id);
            }
        }
    }

    private void reportSuspected() {
        long nowMillis = nowMillis();
        nodes.forEach((id, node) -> {
            long unresponsiveMillis = nowMillis - node.lastMessageMillis;
            if (!node.suspected && unresponsiveMillis > ALIVE_MILLIS) {
                node.suspected = true;
                environment
                        .events()
                        .record(EventCode.MEMBER_SUSPECTED, id + ": no message for " + unresponsiveMillis + " ms");
            }
        });
    }

    /**
     * Reports the number of live nodes, logs nodes that have become unresponsive, and removes the registrations of
     * nodes that have been unresponsive for long.
     */
    void checkNodes() {
        // where messages of a node arrive rarely, registered nodes are counted too, since those that share limits must
        // not be too few
        int registered = idByName.size() + 1;
        onAliveCount.accept(homesPlace() ? Math.max(registered, aliveCount()) : aliveCount());
        if (!homesPlace()) {
            reportSuspected();
        }
        long nowMillis = nowMillis();
        for (Map.Entry<String, String> entry : Map.copyOf(idByName).entrySet()) {
            Node node = nodes.get(entry.getValue());
            if (node != null && nowMillis - node.lastMessageMillis > REGISTRATION_EXPIRY_MILLIS) {
                removeNode(entry.getKey());
                store.remove(CollectionStore.NODES, entry.getKey());
            }
        }
    }

    /** Returns the ids of the other nodes that may remember a stream, whether they respond or not. */
    List<String> others() {
        List<String> others = new ArrayList<>(homesPlace() ? capacities.keySet() : nodes.keySet());
        others.remove(ownId());
        return others;
    }

    /** Returns whether the registrations of all nodes have been read from the store. */
    boolean listed() {
        return listed;
    }

    /** Returns whether there are so many nodes that homes place requests. */
    boolean homesPlace() {
        return !capacities.isEmpty();
    }

    /**
     * Returns the capacities of the registered nodes, including this one, by their ids; empty if there are so few nodes
     * that each broadcast of the state exchange reaches all of them.
     */
    Map<String, Integer> capacities() {
        return capacities;
    }

    /**
     * Returns the capacities of the nodes that may issue permits, by their ids: the registered ones, without those that
     * are known to be unresponsive. Empty until the registrations have been listed.
     */
    Map<String, Integer> issuerCapacities() {
        if (!listed) {
            return Map.of();
        }
        if (homesPlace() && !deregistered) {
            return capacities;
        }
        Map<String, Integer> issuers = new TreeMap<>();
        capacityByName.forEach((name, capacity) -> {
            String id = idByName.get(name);
            if (homesPlace() || isAlive(nodes.get(id))) {
                issuers.put(id, capacity);
            }
        });
        if (!deregistered) {
            issuers.put(ownId(), environment.settings().resources().cpuMillicores());
        }
        return issuers;
    }

    private boolean isAlive(Node node) {
        return node != null && nowMillis() - node.lastMessageMillis <= ALIVE_MILLIS;
    }

    private void updateCapacities() {
        Map<String, Integer> updated = new TreeMap<>();
        capacityByName.forEach((name, capacity) -> updated.put(idByName.get(name), capacity));
        updated.put(ownId(), environment.settings().resources().cpuMillicores());
        boolean enough = updated.size() > ForwardStateExchange.FAN_OUT + 1;
        if (!capacities.equals(updated)) {
            capacities = enough ? Map.copyOf(updated) : Map.of();
        }
    }

    private void removeNode(String name) {
        capacityByName.remove(name);
        String id = idByName.remove(name);
        if (id != null) {
            nodes.remove(id);
        }
    }

    @Override
    public void listed(List<CollectionObject> objects, long revision) {
        boolean registered = false;
        for (CollectionObject object : objects) {
            registered |= object.name().equals(environment.settings().nodeName());
            apply(object);
        }
        listed = true;
        updateCapacities();
        if (!registered) {
            registerAgain();
        }
    }

    @Override
    public void changed(List<CollectionObject> objects, long revision) {
        objects.forEach(this::apply);
        updateCapacities();
    }

    private void apply(CollectionObject object) {
        if (object.name().equals(environment.settings().nodeName())) {
            onOwnRegistration(object);
            return;
        }
        if (object.removed()) {
            if (idByName.containsKey(object.name())) {
                environment.events().record(EventCode.MEMBER_LEAVING, object.name());
            }
            removeNode(object.name());
            return;
        }
        if (object.content() == null
                || !object.content().path(HOST).isTextual()
                || !object.content().path(PORT).isInt()
                || !isConnectable(
                        object.content().path(HOST).asText(),
                        object.content().path(PORT).asInt())) {
            environment
                    .events()
                    .record(EventCode.CONFIGURATION_UNREADABLE, "malformed registration of " + object.name());
            return;
        }
        PeerAddress address = new PeerAddress(
                object.content().path(HOST).asText(),
                object.content().path(PORT).asInt());
        if (!id(address).equals(idByName.get(object.name()))) {
            removeNode(object.name());
        }
        idByName.put(object.name(), id(address));
        capacityByName.put(
                object.name(), Math.max(1, object.content().path(CAPACITY).asInt(1)));
        addIfAbsent(address);
    }

    private void onOwnRegistration(CollectionObject object) {
        boolean current = !object.removed()
                && object.content() != null
                && ownAddress.host().equals(object.content().path(HOST).asText())
                && ownAddress.port() == object.content().path(PORT).asInt();
        if (!current) {
            registerAgain();
        }
    }

    @Override
    public void failed(String reason) {
        storeReachability.failed("nodes", reason);
    }

    @Override
    public void succeeded() {
        storeReachability.succeeded("nodes");
    }
}
