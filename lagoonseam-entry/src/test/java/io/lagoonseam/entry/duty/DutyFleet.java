package io.lagoonseam.entry.duty;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.peer.VirtualNetwork;
import io.lagoonseam.entry.store.CollectionObject;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.StoreResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Nodes that count requests, a store with conditions, and a platform that judges, in virtual time. */
final class DutyFleet {

    static final long WINDOW_MILLIS = 5_000;

    /** The virtual clock begins at a window of true time. */
    static final long EPOCH_MILLIS = 100 * WINDOW_MILLIS;

    private static final long LEASE_MILLIS = 3_000;
    private static final long TICK_MILLIS = 250;
    private static final long CALL_TIMEOUT_MILLIS = 1_200;
    private static final int REQUEST_INTERVAL_MILLIS = 40;

    final VirtualNetwork network;
    final List<Node> nodes = new ArrayList<>();
    final Map<Long, Map<String, Long>> truth = new TreeMap<>();
    private final Random random;
    private final JudgingPlatform platform;
    private final boolean requests;
    private Optional<CollectionObject> object = Optional.empty();
    private Optional<CollectionObject> copy = Optional.empty();
    private long revision = 10;
    private boolean storeAway;

    DutyFleet(int count, long seed, boolean requests) {
        this.random = new Random(seed);
        this.network = new VirtualNetwork(random);
        this.platform = new JudgingPlatform(this, random);
        this.requests = requests;
        for (int index = 0; index < count; index++) {
            Node node = new Node("n" + index);
            nodes.add(node);
            node.start();
        }
    }

    JudgingPlatform platform() {
        return platform;
    }

    long nowMillis() {
        return network.time().monotonicMillis();
    }

    void storeAway(boolean value) {
        storeAway = value;
    }

    void copyStore() {
        copy = object;
    }

    /** Another writer leaves something else in place of the record. */
    void spoilRecord() {
        revision++;
        object = Optional.of(new CollectionObject(UsageDuty.SUBJECT, revision, false, null));
    }

    void restoreStore() {
        object = copy;
    }

    Optional<Node> holder() {
        return nodes.stream()
                .filter(node -> node.running && !node.frozen && node.duty.holds())
                .findFirst();
    }

    static long window(long virtualMillis) {
        return (EPOCH_MILLIS + virtualMillis) / WINDOW_MILLIS;
    }

    private <T> Future<T> call(Node node, T failed, Supplier<T> action) {
        Promise<T> answer = Promise.promise();
        network.after(CALL_TIMEOUT_MILLIS, () -> node.later(() -> answer.tryComplete(failed)));
        network.after(2, () -> {
            if (!storeAway && !node.cutFromStore) {
                T result = action.get();
                network.after(2, () -> node.later(() -> answer.tryComplete(result)));
            }
        });
        return answer.future();
    }

    /** One node, whose processes come and go. */
    final class Node {
        final String id;
        UsageDuty duty;
        boolean running;
        boolean frozen;
        boolean cutFromStore;
        long clockStepMillis;
        private long frozenMillis;
        private long frozenSinceMillis;
        private int lives;
        private final List<Runnable> held = new ArrayList<>();

        Node(String id) {
            this.id = id;
        }

        /** Starts a process; the messages of an earlier one are lost. */
        void start() {
            lives++;
            int life = lives;
            running = true;
            held.clear();
            duty = new UsageDuty(new UsageDuty.Environment(
                    clocks(),
                    network.add(id),
                    task -> later(life, task),
                    id,
                    id,
                    id + "/" + lives,
                    () -> nodes.stream()
                            .map(node -> node.id)
                            .filter(other -> !other.equals(id))
                            .toList(),
                    () -> nodes.stream().map(node -> node.id).toList(),
                    store(),
                    platform.from(id),
                    DecisionLog.NOOP,
                    WINDOW_MILLIS,
                    LEASE_MILLIS));
            network.after(random.nextInt((int) TICK_MILLIS), () -> tick(life));
            network.after(random.nextInt(REQUEST_INTERVAL_MILLIS), () -> request(life));
        }

        void kill() {
            running = false;
            network.cut(id, true);
        }

        void restart() {
            start();
            network.cut(id, false);
        }

        void freeze() {
            frozen = true;
            frozenSinceMillis = nowMillis();
        }

        void thaw() {
            frozen = false;
            frozenMillis += nowMillis() - frozenSinceMillis;
            List<Runnable> due = List.copyOf(held);
            held.clear();
            due.forEach(Runnable::run);
        }

        /** Runs a callback, when the process runs again. */
        void later(Runnable task) {
            later(lives, task);
        }

        private void later(int life, Runnable task) {
            if (!running || life != lives) {
                return;
            }
            if (frozen) {
                held.add(() -> later(life, task));
            } else {
                task.run();
            }
        }

        private void tick(int life) {
            if (running && life == lives) {
                network.after(TICK_MILLIS, () -> tick(life));
                if (!frozen) {
                    duty.tick();
                }
            }
        }

        private void request(int life) {
            if (running && life == lives) {
                network.after(REQUEST_INTERVAL_MILLIS, () -> request(life));
                if (!frozen && requests) {
                    String workspace = "w" + random.nextInt(3);
                    duty.began(workspace, 0);
                    truth.computeIfAbsent(window(nowMillis()), key -> new HashMap<>())
                            .merge(workspace, 1L, Long::sum);
                }
            }
        }

        /** The monotonic clock does not count the time in which the machine is suspended. */
        private TimeSource clocks() {
            return new TimeSource() {
                @Override
                public long monotonicNanos() {
                    long counted = (frozen ? frozenSinceMillis : DutyFleet.this.nowMillis()) - frozenMillis;
                    return TimeUnit.MILLISECONDS.toNanos(1_000_000 + counted);
                }

                @Override
                public long wallMillis() {
                    return EPOCH_MILLIS + DutyFleet.this.nowMillis() + clockStepMillis;
                }
            };
        }

        private CollectionStore store() {
            return new CollectionStore() {
                @Override
                public Future<StoreResult> read(String collection, String name, boolean mayBeStale) {
                    return call(Node.this, new StoreResult.Unavailable("silent"), DutyFleet.this::present);
                }

                @Override
                public Future<StoreResult> replace(String collection, String name, JsonNode content, long expected) {
                    return call(
                            Node.this, new StoreResult.Unavailable("silent"), () -> replaced(name, content, expected));
                }

                @Override
                public Future<StoreResult> list(String collection, boolean mayBeStale) {
                    throw new UnsupportedOperationException("not used");
                }

                @Override
                public Future<StoreResult> watch(String collection, long since, long longPollTimeoutMillis) {
                    throw new UnsupportedOperationException("not used");
                }

                @Override
                public Future<StoreResult> put(String collection, String name, JsonNode content) {
                    throw new UnsupportedOperationException("not used");
                }

                @Override
                public Future<StoreResult> remove(String collection, String name) {
                    throw new UnsupportedOperationException("not used");
                }
            };
        }
    }

    private StoreResult present() {
        return object.<StoreResult>map(found -> new StoreResult.Objects(found.revision(), List.of(found)))
                .orElseGet(StoreResult.Conflict::new);
    }

    private StoreResult replaced(String name, JsonNode content, long expected) {
        long actual = object.map(CollectionObject::revision).orElse(-1L);
        if (actual != expected) {
            return new StoreResult.Conflict();
        }
        revision++;
        object = Optional.of(new CollectionObject(name, revision, false, content));
        return present();
    }
}
