import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A worker leaves while the nodes' channels to the store have gone silent. */
final class Case12 {

    /** One of eight leaves: a share of 0.125, where the site has at most 0.25 in an entry. */
    private static final int WORKERS = 8;

    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;
    /** How long the leaving worker goes on serving: drain_ms and "a little longer". */
    private static final long SERVES_ON_MILLIS = 3_600;

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
        for (int index = 1; index <= WORKERS; index++) {
            Bed.Worker worker = bed.own(new Bed.Worker("i-" + index, bed.address(210 + index), null));
            worker.behaviour(worker.sound(100));
            workers.add(worker);
            store.put("servers", worker.id, Bed.entry("app", worker.address(), 16, "ready", 1_700_000_000_000L + index));
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
        Bed.Worker leaving = workers.get(WORKERS - 1);
        List<Bed.Link> links = new ArrayList<>();
        List<Bed.Node> nodes = new ArrayList<>();
        for (int machine = 1; machine <= 3; machine++) {
            Bed.Link link = bed.own(new Bed.Link(bed.address(machine), bed.address(201), store.port()));
            links.add(link);
            nodes.add(bed.node(machine, link.address(), internalPort, List.of(bed.address(1), bed.address(2)), ""));
        }
        for (Bed.Node node : nodes) {
            node.start();
        }
        bed.awaitReady(nodes, 20_000);
        bed.note("three nodes are ready");

        long begin = Bed.now();
        long silentMillis = begin + 8_000;
        long endMillis = silentMillis + 9_000;
        List<Bed.Sent> sent = new ArrayList<>();
        List<Bed.Sent> reads = bed.clients(nodes, 6, "GET", "/read/a", 150, endMillis);
        List<Bed.Sent> pays = bed.clients(nodes, 6, "POST", "/pay/a", 150, endMillis);

        Bed.sleepUntil(silentMillis);
        long troubleMillis = Long.MIN_VALUE;
        if (bed.trouble) {
            int silenced = links.stream().mapToInt(Bed.Link::silence).sum();
            troubleMillis = Bed.now();
            bed.note("the " + silenced + " open channels between nodes and store go silent; new ones work");
        }
        Bed.sleepUntil(silentMillis + 300);
        store.remove("servers", leaving.id);
        long removedMillis = Bed.now();
        bed.note("the store has confirmed: the entry of i-8 is removed; i-8 goes on serving");
        Bed.sleepUntil(removedMillis + SERVES_ON_MILLIS);
        leaving.close();
        bed.note("i-8 has ended");
        Bed.sleepUntil(endMillis + 2_000);

        sent.addAll(reads);
        sent.addAll(pays);
        Map<String, Bed.Sent> byId = new HashMap<>();
        sent.forEach(request -> byId.put(request.id, request));
        Map<Integer, Integer> statuses = new HashMap<>();
        sent.forEach(request -> statuses.merge(request.status, 1, Integer::sum));
        bed.note("requests sent: " + sent.size() + ", by status (0: none): " + statuses);
        // the silence counts as a reset of the channels of all machines
        long inTouchMillis = troubleMillis + CONTACT_MILLIS;
        int late = 0;
        int lost = 0;
        long last = 0;
        for (Bed.Arrival arrival : List.copyOf(leaving.arrivals)) {
            Bed.Sent request = byId.get(arrival.id());
            last = Math.max(last, arrival.atMillis() - removedMillis);
            if (arrival.atMillis() > removedMillis + DRAIN_MILLIS && request.sentMillis >= inTouchMillis) {
                late++;
                lost += request.path.startsWith("/pay/") && request.status != 200 ? 1 : 0;
                bed.note("LATE " + request.path + " " + request.id + " sent to " + request.node.name + " at "
                        + request.sentMillis + " ms, reached i-8 " + (arrival.atMillis() - removedMillis)
                        + " ms after the confirmation, answered " + request.outcome);
            }
        }
        bed.note("the last request reached i-8 " + last + " ms after the confirmation");
        bed.note("of the late ones, " + lost + " unsafe requests were accepted and got no success, since i-8 had ended");
        if (sent.size() < 100 || workers.get(0).arrivals.size() < 20) {
            bed.end(2, "too little was served to judge");
        }
        bed.end(
                late > 0 ? 1 : 0,
                late + " requests of machines in touch reached the worker that had left, later than drain_ms");
    }
}
