import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A worker crashes, and its machine starts again under the id that it had, as a worker of another service. */
final class Case11 {

    /** How long an address stays unused, by the settings; the entry of a silent worker is removed after 3,600 ms. */
    private static final long REUSE_AFTER_MILLIS = 2_000;
    /** How long the nodes have to follow the changed entry: as long as for a worker that leaves. */
    private static final long DRAIN_MILLIS = 2_000;

    public static void main(String[] arguments) throws Exception {
        Bed bed = new Bed(arguments[0]);
        try {
            run(bed);
        } catch (Exception e) {
            bed.end(2, "the case could not run: " + e);
        }
    }

    private static void run(Bed bed) throws Exception {
        Bed.Store store = bed.own(new Bed.Store(bed.address(201), 0));
        List<Bed.Worker> workers = new ArrayList<>();
        for (int index = 1; index <= 4; index++) {
            Bed.Worker worker = bed.own(new Bed.Worker("i-" + index, bed.address(210 + index), null));
            worker.behaviour(worker.sound(20));
            workers.add(worker);
            store.put(
                    "servers",
                    worker.id,
                    Bed.entry(index <= 3 ? "desk" : "billing", worker.address(), 16, "ready", 1_700_000_000_000L + index));
        }
        store.put(
                "config",
                "main",
                Bed.manifest(
                        7,
                        List.of(
                                Bed.route("read", "/read/", "safe", "desk", 1_500, ",\"max_attempts\":2"),
                                Bed.route("pay", "/pay/", "unsafe", "desk", 1_500, ",\"max_attempts\":1"),
                                Bed.route("bill", "/bill/", "safe", "billing", 1_500, ",\"max_attempts\":2")),
                        List.of("desk", "billing")));
        int internalPort = Bed.freePort(bed.address(1));
        List<Bed.Node> nodes = new ArrayList<>();
        for (int machine = 1; machine <= 3; machine++) {
            nodes.add(bed.node(
                    machine,
                    bed.address(201) + ":" + store.port(),
                    internalPort,
                    List.of(bed.address(1), bed.address(2)),
                    ""));
        }
        for (Bed.Node node : nodes) {
            node.start();
        }
        bed.awaitReady(nodes, 20_000);
        bed.note("three nodes are ready; i-1, i-2 and i-3 belong to the service desk, i-4 to billing");

        long begin = Bed.now();
        long endMillis = begin + 16_000;
        List<Bed.Sent> sent = new ArrayList<>();
        List<Bed.Sent> reads = bed.clients(nodes, 3, "GET", "/read/a", 150, endMillis);
        List<Bed.Sent> pays = bed.clients(nodes, 3, "POST", "/pay/a", 150, endMillis);
        List<Bed.Sent> bills = bed.clients(nodes, 1, "GET", "/bill/a", 150, endMillis);

        Bed.sleepUntil(begin + 4_000);
        Bed.Worker again = workers.get(2);
        long changedMillis = Bed.now();
        if (bed.trouble) {
            again.close();
            bed.note("i-3 crashes");
            Bed.sleepUntil(begin + 4_000 + REUSE_AFTER_MILLIS + 500);
            again = bed.own(new Bed.Worker("i-3", bed.address(213), again.port(), null));
            again.behaviour(again.sound(20));
            store.put("servers", "i-3", Bed.entry("billing", again.address(), 16, "ready", 1_700_000_900_000L));
            changedMillis = Bed.now();
            bed.note("i-3 has started again at its address, as a worker of billing; the store has confirmed its entry");
        }
        Bed.sleepUntil(endMillis + 2_000);

        sent.addAll(reads);
        sent.addAll(pays);
        sent.addAll(bills);
        Map<String, Bed.Sent> byId = new HashMap<>();
        sent.forEach(request -> byId.put(request.id, request));
        Map<Integer, Integer> statuses = new HashMap<>();
        sent.forEach(request -> statuses.merge(request.status, 1, Integer::sum));
        bed.note("requests sent: " + sent.size() + ", by status (0: none): " + statuses);
        int wrong = 0;
        int early = 0;
        for (Bed.Worker billing : bed.trouble ? List.of(workers.get(3), again) : List.of(workers.get(3))) {
            for (Bed.Arrival arrival : List.copyOf(billing.arrivals)) {
                Bed.Sent request = byId.get(arrival.id());
                if (request.path.startsWith("/bill/")) {
                    continue;
                }
                if (request.sentMillis <= changedMillis + DRAIN_MILLIS) {
                    early++;
                    continue;
                }
                wrong++;
                if (wrong <= 60) {
                    bed.note("WRONG SERVICE " + arrival.method() + " " + request.path + " " + request.id + " sent to "
                            + request.node.name + " " + (request.sentMillis - changedMillis)
                            + " ms after the confirmation was run by " + billing.id + " of billing, answered "
                            + request.outcome);
                }
            }
        }
        bed.note("requests for desk that were run by billing: " + early
                + " in the first 2,000 ms, which don't count, and " + wrong + " later");
        if (sent.size() < 100 || workers.get(0).arrivals.size() < 20 || workers.get(3).arrivals.isEmpty()) {
            bed.end(2, "too little was served to judge");
        }
        bed.end(wrong > 0 ? 1 : 0, wrong + " requests for desk were run by a worker of billing");
    }
}
