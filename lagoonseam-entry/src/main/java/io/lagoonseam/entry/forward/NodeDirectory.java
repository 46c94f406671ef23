package io.lagoonseam.entry.forward;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.entry.peer.PeerAddress;
import io.lagoonseam.entry.store.CollectionFollower;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.StoreResult;
import io.lagoonseam.entry.store.StoredObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.IntConsumer;

/**
 * The nodes of the deployment by their addresses: each registers itself in the store, and what nodes tell each other
 * fills in while the store is away. A registration does not expire by itself; one whose node has been silent for long
 * is removed by the nodes that notice it, and written again by its node if that still runs.
 */
final class NodeDirectory implements CollectionFollower.Listener {

    private static final String HOST = "host";
    private static final String PORT = "port";

    /** How long a node is counted after it was last heard of, in milliseconds: some rounds of the exchange. */
    private static final long ALIVE_MILLIS = 4_000;

    /** How long a node must have been silent before its registration is removed, in milliseconds. */
    private static final long FORGOTTEN_MILLIS = 600_000;

    /** The pause after a registration that failed, in milliseconds; it doubles up to the longest. */
    private static final long FIRST_RETRY_MILLIS = 200;

    private static final long LONGEST_RETRY_MILLIS = 2_000;

    private final ForwardEnvironment environment;
    private final CollectionStore store;
    private final PeerAddress ownAddress;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, String> addressByName = new HashMap<>();
    private final IntConsumer onCount;
    private final StoreContact contact;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private boolean leaving;

    private static final class Node {
        private final PeerAddress address;
        private long heardMillis;
        private boolean lost;

        Node(PeerAddress address, long nowMillis) {
            this.address = address;
            this.heardMillis = nowMillis;
        }
    }

    NodeDirectory(ForwardEnvironment environment, CollectionStore store, IntConsumer onCount) {
        this.environment = environment;
        this.store = store;
        this.onCount = onCount;
        this.contact = new StoreContact(environment.events());
        NodeSettings settings = environment.settings();
        this.ownAddress =
                new PeerAddress(settings.peers().host(), settings.peers().port());
        addSeeds();
    }

    /** Adds the nodes that the settings in force name. */
    void addSeeds() {
        environment.settings().seedHosts().forEach(host -> add(new PeerAddress(host, ownAddress.port())));
    }

    /** Returns the name by which nodes know each other: the address that they listen on. */
    static String id(PeerAddress address) {
        return address.host() + ":" + address.port();
    }

    private static Optional<PeerAddress> parse(String id) {
        int colon = id.lastIndexOf(':');
        try {
            return colon <= 0
                    ? Optional.empty()
                    : Optional.of(new PeerAddress(id.substring(0, colon), Integer.parseInt(id.substring(colon + 1))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    String ownId() {
        return id(ownAddress);
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private void add(PeerAddress address) {
        if (!address.equals(ownAddress)) {
            nodes.computeIfAbsent(id(address), name -> new Node(address, nowMillis()));
        }
    }

    /** Writes the registration of this node until the store has it. */
    private void register() {
        if (leaving) {
            return;
        }
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put(HOST, ownAddress.host()).put(PORT, ownAddress.port());
        store.put(CollectionStore.NODES, environment.settings().nodeName(), content)
                .onSuccess(result -> {
                    if (result instanceof StoreResult.Objects) {
                        retryMillis = FIRST_RETRY_MILLIS;
                        return;
                    }
                    environment.events().record(EventCode.REGISTRATION_FAILED, String.valueOf(result));
                    long delayMillis =
                            Math.round(retryMillis * (0.5 + environment.random().nextDouble()));
                    retryMillis = Math.min(2 * retryMillis, LONGEST_RETRY_MILLIS);
                    environment.vertx().setTimer(Math.max(1, delayMillis), timer -> register());
                });
    }

    /** Removes the registration of this node. */
    void leave() {
        leaving = true;
        store.remove(CollectionStore.NODES, environment.settings().nodeName());
    }

    /** Returns the nodes to talk to: those that run, and one of those that have been silent. */
    List<String> peers(Random random) {
        List<String> alive = new ArrayList<>();
        List<String> silent = new ArrayList<>();
        long nowMillis = nowMillis();
        nodes.forEach((id, node) -> (nowMillis - node.heardMillis <= ALIVE_MILLIS ? alive : silent).add(id));
        if (!silent.isEmpty()) {
            alive.add(silent.get(random.nextInt(silent.size())));
        }
        return alive;
    }

    private int alive() {
        long nowMillis = nowMillis();
        return 1
                + (int) nodes.values().stream()
                        .filter(node -> nowMillis - node.heardMillis <= ALIVE_MILLIS)
                        .count();
    }

    Optional<PeerAddress> address(String id) {
        return Optional.ofNullable(nodes.get(id)).map(node -> node.address);
    }

    /** Takes a sign of life of a node. */
    void heard(String id) {
        Node node = nodes.get(id);
        if (node == null) {
            parse(id).ifPresent(address -> {
                environment.events().record(EventCode.MEMBER_ALIVE, id);
                add(address);
            });
        } else {
            node.heardMillis = nowMillis();
            if (node.lost) {
                node.lost = false;
                environment.events().record(EventCode.MEMBER_ALIVE, id);
            }
        }
    }

    private void tellLost() {
        long nowMillis = nowMillis();
        nodes.forEach((id, node) -> {
            long silentMillis = nowMillis - node.heardMillis;
            if (!node.lost && silentMillis > ALIVE_MILLIS) {
                node.lost = true;
                environment.events().record(EventCode.MEMBER_SUSPECTED, id + " silent for " + silentMillis + " ms");
            }
        });
    }

    /** Counts the nodes that run and removes registrations of nodes that have been silent for long. */
    void tick() {
        onCount.accept(alive());
        tellLost();
        long nowMillis = nowMillis();
        for (Map.Entry<String, String> entry : Map.copyOf(addressByName).entrySet()) {
            Node node = nodes.get(entry.getValue());
            if (node != null && nowMillis - node.heardMillis > FORGOTTEN_MILLIS) {
                forget(entry.getKey());
                store.remove(CollectionStore.NODES, entry.getKey());
            }
        }
    }

    private void forget(String name) {
        String id = addressByName.remove(name);
        if (id != null) {
            nodes.remove(id);
        }
    }

    @Override
    public void listed(List<StoredObject> objects, long revision) {
        boolean registered = false;
        for (StoredObject object : objects) {
            registered |= object.name().equals(environment.settings().nodeName());
            changed(object, revision);
        }
        if (!registered) {
            register();
        }
    }

    @Override
    public void changed(StoredObject object, long revision) {
        if (object.name().equals(environment.settings().nodeName())) {
            onOwn(object);
            return;
        }
        if (object.removed()) {
            if (addressByName.containsKey(object.name())) {
                environment.events().record(EventCode.MEMBER_LEAVING, object.name());
            }
            forget(object.name());
            return;
        }
        if (object.content() == null
                || !object.content().path(HOST).isTextual()
                || !object.content().path(PORT).isInt()) {
            environment.events().record(EventCode.CONFIGURATION_UNREADABLE, "registration of " + object.name());
            return;
        }
        PeerAddress address = new PeerAddress(
                object.content().path(HOST).asText(),
                object.content().path(PORT).asInt());
        if (!id(address).equals(addressByName.get(object.name()))) {
            forget(object.name());
        }
        addressByName.put(object.name(), id(address));
        add(address);
    }

    private void onOwn(StoredObject object) {
        boolean current = !object.removed()
                && object.content() != null
                && ownAddress.host().equals(object.content().path(HOST).asText())
                && ownAddress.port() == object.content().path(PORT).asInt();
        if (!current) {
            register();
        }
    }

    @Override
    public void failed(String reason) {
        contact.failed("nodes", reason);
    }

    @Override
    public void answered() {
        contact.answered("nodes");
    }
}
