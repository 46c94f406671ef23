import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A waiting watch is cut off; a second later a worker leaves without reporting that it drains. Counts the requests that
 * reach it later than drain_ms after the store has confirmed its leaving.
 */
final class Case9 {

    private static final int NODES = 6;
    private static final int WORKERS = 3;
    private static final long WORK_MILLIS = 100;
    private static final long BETWEEN_REQUESTS_MILLIS = 16;
    private static final long DEADLINE_MILLIS = 1_000;
    private static final long LONGER_MILLIS = 300;

    private record Run(String requestId, String worker, long atMillis, String method) {}

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Bed bed = new Bed(Path.of("review/9/record.txt"))) {
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
        List<Worker> workers = new ArrayList<>();
        for (int index = 1; index <= WORKERS; index++) {
            workers.add(new Worker(
                    bed,
                    bed.network + "." + (100 + index),
                    "i-" + index,
                    "app",
                    12,
                    WORK_MILLIS,
                    (worker, request, atMillis) -> {
                        runs.add(new Run(request.header("x-request-id"), worker.id, atMillis, request.word(0)));
                        bed.note("run " + request.header("x-request-id") + " at " + worker.id + " "
                                + request.word(0));
                    }));
        }
        store.put(
                "config",
                "main",
                Manifest.of(
                        1,
                        96,
                        List.of(
                                Manifest.route("pay", "/pay/", "unsafe", DEADLINE_MILLIS, 300, 1),
                                Manifest.route("look", "/look/", "safe", DEADLINE_MILLIS, 300, 2))));
        for (Worker worker : workers) {
            store.put("servers", worker.id, worker.entry("ready", 1));
        }
        bed.startNodes(NODES, store);
        if (!bed.awaitReady(40_000)) {
            bed.say("the nodes did not become ready");
            return 2;
        }
        long trafficMillis = bed.millis();
        bed.note("all nodes are ready; traffic begins");
        boolean[] stop = {false};
        AtomicInteger open = new AtomicInteger();
        Thread traffic = new Thread(() -> {
            Random random = new Random(9);
            for (int number = 1; !stop[0]; number++) {
                boolean unsafe = number % 2 == 0;
                Bed.Node node = bed.nodes.get(random.nextInt(NODES));
                String requestId = "r" + number;
                open.incrementAndGet();
                Store.daemon(() -> {
                    bed.note("sent " + requestId + " to " + node.name);
                    Client.Result result = unsafe
                            ? send(node, "POST", "/pay/1", requestId, new byte[600])
                            : send(node, "GET", "/look/1", requestId, new byte[0]);
                    results.put(requestId, result);
                    bed.note("answered " + requestId + " " + result.status() + " " + result.reason());
                    open.decrementAndGet();
                });
                try {
                    Thread.sleep(BETWEEN_REQUESTS_MILLIS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        traffic.setDaemon(true);
        traffic.start();

        bed.sleepUntil(trafficMillis + 6_000);
        if (bed.trouble) {
            bed.note("the store cuts off the watches that are waiting: " + store.cutWaitingWatches());
        }
        bed.sleepUntil(trafficMillis + 7_000);
        Worker leaving = workers.get(WORKERS - 1);
        store.remove("servers", leaving.id);
        long goneMillis = bed.millis();
        bed.note("the store has confirmed that the entry of " + leaving.id + " is removed");
        long exitMillis = goneMillis + Bed.DRAIN_MS + LONGER_MILLIS;
        bed.sleepUntil(exitMillis);
        leaving.exit();
        bed.note("worker " + leaving.id + " has exited");
        bed.sleepUntil(goneMillis + 5_000);
        stop[0] = true;
        for (long until = bed.millis() + 3_000; open.get() > 0 && bed.millis() < until; ) {
            Thread.sleep(50);
        }

        int served = 0;
        for (Client.Result result : results.values()) {
            served += result.status() == 200 ? 1 : 0;
        }
        int late = 0;
        int lost = 0;
        long latest = 0;
        for (Run run : List.copyOf(runs)) {
            if (run.worker().equals(leaving.id) && run.atMillis() > goneMillis + Bed.DRAIN_MS) {
                late++;
                latest = Math.max(latest, run.atMillis() - goneMillis);
                Client.Result result = results.get(run.requestId());
                boolean unanswered = result == null || result.status() != 200;
                if (unanswered && "POST".equals(run.method())) {
                    lost++;
                    bed.note("lost " + run.requestId() + ": ran at " + (run.atMillis() - goneMillis)
                            + " ms after the removal, its client got "
                            + (result == null ? "nothing" : result.status() + " " + result.reason()));
                }
            }
        }
        bed.say("requests " + results.size() + ", served " + served);
        bed.say("requests that reached the worker later than " + Bed.DRAIN_MS + " ms after its removal: " + late
                + ", the last one after " + latest + " ms; unsafe ones of them without an answer: " + lost);
        if (served < results.size() / 2) {
            bed.say("too few requests were served");
            return 2;
        }
        bed.say(late > 0 ? "DRAIN broken" : "DRAIN held");
        return late > 0 ? 1 : 0;
    }

    private static Client.Result send(Bed.Node node, String method, String path, String requestId, byte[] body) {
        return Client.send(node, method, path, requestId, Manifest.KEY, DEADLINE_MILLIS, body);
    }
}
