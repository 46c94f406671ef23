package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.reach.ServiceReach;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Follows by attempts whether this node reaches the workers of each service, and opens connections to some of them
 * where that is in doubt.
 */
final class WorkerReach {

    /** Connect timeout of a check, in milliseconds: many network round trips between data centres. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /** How long an attempt may wait for its connection until the reach of its service is in doubt, in milliseconds. */
    private static final long SLOW_CONNECT_MILLIS = 100;

    /** How long ago a worker may have been heard for another node to rely on it, in milliseconds. */
    private static final long SEEN_MILLIS = 500;

    private static final int SEVERAL = 5;
    private static final int AGAIN = 2;

    private final ForwardEnvironment environment;
    private final Function<String, List<UpstreamRecord>> workersOf;
    private final NetClient client;
    private final Map<String, Service> services = new HashMap<>();
    private Consumer<String> onCutOff = service -> {};

    /** What is known about one service. */
    private static final class Service {
        private final String name;
        private final ServiceReach reach = new ServiceReach();
        private final List<Runnable> waiting = new ArrayList<>();
        private final List<Held> held = new ArrayList<>();
        private boolean cutOff;

        Service(String name) {
            this.name = name;
        }
    }

    /** A conclusion about a worker that holds only if this node reaches others. */
    private record Held(Runnable conclusion, Runnable onDropped) {}

    /** Follows one attempt at a worker. */
    final class Attempt {

        private final Service service;
        private final String workerId;
        private final long beganMillis = nowMillis();
        private final RequestTimer slowConnect = new RequestTimer(environment.vertx());

        private Attempt(Service service, String workerId) {
            this.service = service;
            this.workerId = workerId;
            service.reach.attemptBegan(beganMillis);
        }

        /** A connection to the worker is being opened. */
        void connecting() {
            slowConnect.restart(SLOW_CONNECT_MILLIS, this::failed);
        }

        /** The worker has accepted a connection. */
        void connected() {
            slowConnect.cancel();
            service.reach.connected(nowMillis());
            update(service);
        }

        /** The worker has sent something. */
        void heard() {
            service.reach.heard(nowMillis());
        }

        /** The attempt found no connection, broke off or got no answer. */
        void failed() {
            service.reach.failed(beganMillis);
            check(service, workerId);
        }

        /**
         * Draws a conclusion about the worker from the failure of the attempt if it was not this node that was cut off.
         *
         * @param conclusion called at once if another worker has accepted a connection since the attempt began, or as
         *     soon as one does
         * @param onDropped called instead if this node is cut off
         */
        void conclude(Runnable conclusion, Runnable onDropped) {
            if (service.reach.connectedSince(beganMillis)) {
                conclusion.run();
            } else if (service.reach.cutOff()) {
                onDropped.run();
            } else {
                service.held.add(new Held(conclusion, onDropped));
            }
        }

        /** The attempt has ended, whatever its outcome. Called once. */
        void ended() {
            slowConnect.cancel();
            service.reach.attemptEnded();
        }
    }

    /**
     * Creates an object that has seen no attempt.
     *
     * @param environment the shared dependencies of the node
     * @param workersOf returns the records of the serving workers of a service
     */
    WorkerReach(ForwardEnvironment environment, Function<String, List<UpstreamRecord>> workersOf) {
        this.environment = environment;
        this.workersOf = workersOf;
        this.client =
                environment.vertx().createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, Service::new);
    }

    /** Sets what to call with the name of a service when this node no longer reaches any of its workers. */
    void onCutOff(Consumer<String> value) {
        this.onCutOff = value;
    }

    /** Returns whether a worker of any service has sent something or accepted a connection lately. */
    boolean sawWorkerWithin(long spanMillis) {
        long nowMillis = nowMillis();
        return services.values().stream().anyMatch(service -> service.reach.sawWorkerWithin(spanMillis, nowMillis));
    }

    /** Runs a task as soon as it is not in doubt whether this node reaches the workers of a service, or at once. */
    void whenKnown(String name, Runnable task) {
        Service service = service(name);
        if (service.reach.doubtful()) {
            service.waiting.add(task);
        } else {
            task.run();
        }
    }

    /** Tells for another node whether this one reaches a worker of a service; never fails. */
    CompletionStage<Boolean> verify(String name) {
        ServiceReach reach = service(name).reach;
        boolean seen = reach.sawWorkerWithin(SEEN_MILLIS, nowMillis())
                && !workersOf.apply(name).isEmpty();
        return seen && !reach.cutOff() && !reach.doubtful()
                ? CompletableFuture.completedFuture(true)
                : verify(name, "", nowMillis());
    }

    /**
     * Opens a connection to a worker unless one has been opened since a point in time.
     *
     * @param name the name of the service
     * @param suspectId the id of a worker that is not connected to if there is another, empty for none
     * @param sinceMillis the point in time, on the monotonic clock, in milliseconds
     * @return whether this node reaches a worker; never fails
     */
    CompletionStage<Boolean> verify(String name, String suspectId, long sinceMillis) {
        Service service = service(name);
        if (workersOf.apply(name).isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        if (!service.reach.cutOff()) {
            service.reach.failed(sinceMillis);
            check(service, suspectId);
        }
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        whenKnown(name, () -> result.complete(!service.reach.cutOff()));
        return result;
    }

    /** Records that an attempt at a worker of a service begins. */
    Attempt begin(String service, String workerId) {
        return new Attempt(service(service), workerId);
    }

    /** Returns whether this node reaches no worker of a service. */
    boolean cutOff(String service) {
        Service known = services.get(service);
        return known != null && known.reach.cutOff();
    }

    /** Returns the number of services whose workers this node does not reach. */
    int cutOffServices() {
        return (int) services.values().stream()
                .filter(service -> service.reach.cutOff())
                .count();
    }

    /** Runs the checks that are due; called several times a second. */
    void tick() {
        List.copyOf(services.values()).forEach(service -> check(service, ""));
    }

    private void check(Service service, String suspectId) {
        service.reach.beginCheck(nowMillis()).ifPresent(check -> {
            List<UpstreamRecord> workers = select(service, check, suspectId);
            if (workers.isEmpty()) {
                onChecked(service, check, suspectId, true);
                return;
            }
            new RunningCheck(service, check, suspectId, workers.size()).connect(workers);
        });
    }

    private List<UpstreamRecord> select(Service service, ServiceReach.Check check, String suspectId) {
        List<UpstreamRecord> workers = new ArrayList<>(workersOf.apply(service.name));
        Collections.shuffle(workers, environment.random());
        if (workers.size() > 1) {
            workers.removeIf(worker -> worker.id().equals(suspectId));
        }
        int count =
                switch (check) {
                    case ONE -> 1;
                    case SEVERAL -> SEVERAL;
                    case AGAIN -> AGAIN;
                };
        return workers.subList(0, Math.min(count, workers.size()));
    }

    /** One check, which ends with the first connection, or when none can be opened. */
    private final class RunningCheck {
        private final Service service;
        private final ServiceReach.Check check;
        private final String suspectId;
        private int pending;
        private boolean ended;

        RunningCheck(Service service, ServiceReach.Check check, String suspectId, int count) {
            this.service = service;
            this.check = check;
            this.suspectId = suspectId;
            this.pending = count;
        }

        void connect(List<UpstreamRecord> workers) {
            for (UpstreamRecord worker : workers) {
                client.connect(worker.port(), worker.host())
                        .onSuccess(NetSocket::close)
                        .onComplete(connected -> onResult(connected.succeeded()));
            }
        }

        private void onResult(boolean connected) {
            pending--;
            if (!ended && (connected || pending == 0)) {
                ended = true;
                onChecked(service, check, suspectId, connected);
            }
        }
    }

    private void onChecked(Service service, ServiceReach.Check check, String suspectId, boolean reached) {
        service.reach.checked(check, reached, nowMillis());
        update(service);
        check(service, suspectId);
    }

    private void update(Service service) {
        boolean cutOff = service.reach.cutOff();
        settle(service);
        if (cutOff != service.cutOff) {
            service.cutOff = cutOff;
            environment
                    .events()
                    .recordDecision(
                            cutOff ? EventCode.WORKERS_CUT_OFF : EventCode.WORKERS_REACHED,
                            "",
                            "service",
                            service.name,
                            "workers",
                            workersOf.apply(service.name).size());
            if (cutOff) {
                onCutOff.accept(service.name);
            }
        }
        if (!service.reach.doubtful()) {
            List<Runnable> tasks = List.copyOf(service.waiting);
            service.waiting.clear();
            tasks.forEach(Runnable::run);
        }
    }

    private static void settle(Service service) {
        if (service.reach.doubtful()) {
            return;
        }
        List<Held> held = List.copyOf(service.held);
        service.held.clear();
        held.forEach(
                service.reach.cutOff()
                        ? dropped -> dropped.onDropped().run()
                        : kept -> kept.conclusion().run());
    }
}
