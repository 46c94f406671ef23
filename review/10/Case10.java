import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The list of workers has two pages, and the workers of a service are replaced one after the other. At each step the
 * store cuts off the waiting watches, so that the nodes list the workers anew while an old one reports that it drains.
 * Counts the requests that reach a worker later than drain_ms after the store has confirmed its report.
 */
final class Case10 {

    private static final int NODES = 6;
    private static final int PAGE_ITEMS = 50;
    private static final int APP_WORKERS = 12;
    private static final int OTHER_WORKERS = 50;
    private static final int STEPS = 5;
    private static final int REPLACED = 1;
    private static final long STEP_MILLIS = 5_000;
    private static final long LEAVES_MILLIS = 44;
    private static final long NEW_START_MILLIS = 250;
    private static final long WORK_MILLIS = 250;
    private static final long BETWEEN_REQUESTS_MILLIS = 8;
    private static final long DEADLINE_MILLIS = 1_000;
    private static final long LONGER_MILLIS = 2_500;

    private record Run(String requestId, String worker, long atMillis) {}

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Bed bed = new Bed(Path.of("review/10/record.txt"))) {
            code = play(bed);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        Runtime.getRuntime().halt(code);
    }

    private static int play(Bed bed) throws Exception {
        List<Run> runs = Collections.synchronizedList(new ArrayList<>());
        Map<String, Client.Result> results = new ConcurrentHashMap<>();
        Store store = new Store(bed.network + ".1");
        store.pageItems = PAGE_ITEMS;
        Worker.Listener onRun = (at, request, atMillis) -> {
            runs.add(new Run(request.header("x-request-id"), at.id, atMillis));
            bed.note("run " + request.header("x-request-id") + " at " + at.id);
        };
        Deque<Worker> workers = new ArrayDeque<>();
        for (int index = 1; index <= APP_WORKERS + REPLACED; index++) {
            workers.add(start(bed, store, index, "app", onRun));
        }
        for (int index = 1; index <= OTHER_WORKERS; index++) {
            start(bed, store, 100 + index, "other", onRun);
        }
        store.put(
                "config",
                "main",
                Manifest.of(1, 96, List.of(Manifest.route("pay", "/pay/", "unsafe", DEADLINE_MILLIS, 300, 1))));
        bed.startNodes(NODES, store);
        if (!bed.awaitReady(40_000)) {
            bed.say("the nodes did not become ready");
            return 2;
        }
        long trafficMillis = bed.millis();
        bed.note("all nodes are ready; traffic begins");
        Thread traffic = new Thread(() -> {
            Random random = new Random(10);
            try {
                for (int number = 1; ; number++) {
                    String requestId = "r" + number;
                    Bed.Node node = bed.nodes.get(random.nextInt(NODES));
                    Store.daemon(() -> {
                        bed.note("sent " + requestId + " to " + node.name);
                        Client.Result result = Client.send(
                                node, "POST", "/pay/1", requestId, Manifest.KEY, DEADLINE_MILLIS, new byte[600]);
                        results.put(requestId, result);
                        bed.note("answered " + requestId + " " + result.status() + " " + result.reason());
                    });
                    Thread.sleep(BETWEEN_REQUESTS_MILLIS);
                }
            } catch (InterruptedException e) {
                // the traffic has ended
            }
        });
        traffic.setDaemon(true);
        traffic.start();

        Map<String, Long> leftMillis = new HashMap<>();
        for (int step = 0; step < STEPS; step++) {
            long cutMillis = trafficMillis + 4_000 + step * STEP_MILLIS;
            List<Worker> leaving = new ArrayList<>();
            for (int index = 0; index < REPLACED; index++) {
                leaving.add(workers.remove());
            }
            bed.sleepUntil(cutMillis);
            if (bed.trouble) {
                bed.note("the store cuts off the watches that are waiting: " + store.cutWaitingWatches());
            }
            for (int index = 0; index < REPLACED; index++) {
                bed.sleepUntil(cutMillis + LEAVES_MILLIS);
                Worker old = leaving.get(index);
                store.put("servers", old.id, old.entry("draining", 2));
                leftMillis.put(old.id, bed.millis());
                bed.note("the store has confirmed that " + old.id + " drains");
            }
            bed.sleepUntil(cutMillis + NEW_START_MILLIS);
            for (int index = 1; index <= REPLACED; index++) {
                workers.add(start(bed, store, APP_WORKERS + (step + 1) * REPLACED + index, "app", onRun));
            }
            bed.sleepUntil(cutMillis + Bed.DRAIN_MS + LONGER_MILLIS);
            for (Worker old : leaving) {
                store.remove("servers", old.id);
                old.exit();
                bed.note("worker " + old.id + " has exited");
            }
        }
        traffic.interrupt();
        bed.sleepUntil(bed.millis() + DEADLINE_MILLIS + 200);

        int served = 0;
        for (Client.Result result : results.values()) {
            served += result.status() == 200 ? 1 : 0;
        }
        int late = 0;
        int lost = 0;
        long latest = 0;
        for (Run run : List.copyOf(runs)) {
            Long left = leftMillis.get(run.worker());
            if (left != null && run.atMillis() > left + Bed.DRAIN_MS) {
                late++;
                latest = Math.max(latest, run.atMillis() - left);
                Client.Result result = results.get(run.requestId());
                lost += result == null || result.status() != 200 ? 1 : 0;
            }
        }
        bed.say("requests " + results.size() + ", served " + served + "; requests that reached a worker later than "
                + Bed.DRAIN_MS + " ms after the store had confirmed that it drains: " + late + ", the last one after "
                + latest + " ms; without an answer of it: " + lost);
        if (served < results.size() / 2) {
            bed.say("too few requests were served");
            return 2;
        }
        bed.say(late > 0 ? "DRAIN broken" : "DRAIN held");
        return late > 0 ? 1 : 0;
    }

    private static Worker start(Bed bed, Store store, int number, String service, Worker.Listener onRun)
            throws IOException {
        String id = String.format("i-%03d", number);
        Worker worker = new Worker(bed, bed.network + "." + (50 + number), id, service, 6, WORK_MILLIS, onRun);
        store.put("servers", worker.id, worker.entry("ready", 1));
        return worker;
    }
}
