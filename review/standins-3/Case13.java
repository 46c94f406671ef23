import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The workers of a zone are taken away together, in calm; none of them reports that it drains. */
final class Case13 {

    private static final long DRAIN_MILLIS = 2_000;
    /** How long after the notice the workers are gone. */
    private static final long GONE_AFTER_MILLIS = 2_500;

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
        for (int index = 1; index <= 8; index++) {
            Bed.Worker worker = bed.own(new Bed.Worker("i-" + index, bed.address(210 + index), null));
            worker.behaviour(worker.sound(100));
            workers.add(worker);
            String entry = Bed.entry("app", worker.address(), 16, "ready", 1_700_000_000_000L + index);
            store.put("servers", worker.id, index <= 4 ? entry : entry.replace("zone-a", "zone-b"));
        }
        store.put(
                "config",
                "main",
                Bed.manifest(
                        7,
                        List.of(
                                Bed.route("read", "/read/", "safe", "app", 1_500, ",\"max_attempts\":2"),
                                Bed.route("pay", "/pay/", "unsafe", "app", 1_500, ",\"max_attempts\":1")),
                        List.of("app")));
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
        bed.note("three nodes are ready; i-1 to i-4 are in zone-a, i-5 to i-8 in zone-b");

        long begin = Bed.now();
        long endMillis = begin + 11_000;
        List<Bed.Sent> sent = new ArrayList<>();
        List<Bed.Sent> reads = bed.clients(nodes, 6, "GET", "/read/a", 150, endMillis);
        List<Bed.Sent> pays = bed.clients(nodes, 6, "POST", "/pay/a", 150, endMillis);

        Bed.sleepUntil(begin + 4_500);
        Map<String, Long> removedMillis = new HashMap<>();
        for (int index = 5; index <= 8; index++) {
            Bed.Worker worker = workers.get(index - 1);
            store.remove("servers", worker.id);
            long removed = Bed.now();
            removedMillis.put(worker.id, removed);
            bed.note("the store has confirmed: the entry of " + worker.id + " is removed");
            Bed.daemon(() -> {
                try {
                    Bed.sleepUntil(removed + GONE_AFTER_MILLIS);
                    worker.close();
                    bed.note(worker.id + " is gone");
                } catch (Exception e) {
                    bed.note("could not end " + worker.id + ": " + e);
                }
            });
            Thread.sleep(bed.trouble ? 2 : 700);
        }
        Bed.sleepUntil(endMillis + 2_000);

        sent.addAll(reads);
        sent.addAll(pays);
        Map<String, Bed.Sent> byId = new HashMap<>();
        sent.forEach(request -> byId.put(request.id, request));
        Map<Integer, Integer> statuses = new HashMap<>();
        sent.forEach(request -> statuses.merge(request.status, 1, Integer::sum));
        bed.note("requests sent: " + sent.size() + ", by status (0: none): " + statuses);
        int late = 0;
        int lost = 0;
        for (Bed.Worker worker : workers.subList(4, 8)) {
            long last = 0;
            for (Bed.Arrival arrival : List.copyOf(worker.arrivals)) {
                Bed.Sent request = byId.get(arrival.id());
                long after = arrival.atMillis() - removedMillis.get(worker.id);
                last = Math.max(last, after);
                if (after > DRAIN_MILLIS) {
                    late++;
                    lost += request.path.startsWith("/pay/") && request.status != 200 ? 1 : 0;
                    if (late <= 60) {
                        bed.note("LATE " + request.path + " " + request.id + " sent to " + request.node.name
                                + ", reached " + worker.id + " " + after + " ms after the confirmation, answered "
                                + request.outcome);
                    }
                }
            }
            bed.note("the last request reached " + worker.id + " " + last + " ms after the confirmation");
        }
        bed.note("of the late ones, " + lost + " unsafe requests were accepted and got no success, since the worker was gone");
        if (sent.size() < 100 || workers.get(0).arrivals.size() < 20) {
            bed.end(2, "too little was served to judge");
        }
        bed.end(late > 0 ? 1 : 0, late + " requests reached workers that had left, later than drain_ms");
    }
}
