import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves a few entries among the workers' that are of another type and nearly as large as the store
 * allows. Looks for a node that says that it is ready and takes no new channel for contact_ms, while clients try.
 */
final class Case8 {

    private static final int NODES = 3;
    private static final int WORKERS = 3;
    private static final int ODD_ENTRIES = 5;
    private static final int ODD_ITEMS = 345_000;
    private static final long BETWEEN_ODD_MILLIS = 1_000;
    private static final long BETWEEN_REQUESTS_MILLIS = 50;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int CLIENTS = 7;
    private static final long CHECK_MILLIS = 500;
    private static final long CALM_MILLIS = 5_000;
    private static final long AFTER_MILLIS = 50_000;

    /** A client's try to open a channel to a node, when that was taken (-1 if not), and what its request ended with. */
    private record Try(Bed.Node node, long atMillis, long takenMillis, int status) {}

    /** What a node said when the platform asked whether it is ready. */
    private record Check(Bed.Node node, long atMillis, boolean ready) {}

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Bed bed = new Bed(Path.of("review/8/record.txt"))) {
            code = play(bed);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        Runtime.getRuntime().halt(code);
    }

    private static int play(Bed bed) throws Exception {
        Store store = new Store(bed.network + ".1");
        for (int index = 1; index <= WORKERS; index++) {
            Worker worker = new Worker(
                    bed,
                    bed.network + "." + (100 + index),
                    "i-" + index,
                    "app",
                    6,
                    20,
                    (at, request, atMillis) -> bed.note("run " + request.header("x-request-id") + " at " + at.id));
            store.put("servers", worker.id, worker.entry("ready", 1));
        }
        store.put(
                "config",
                "main",
                Manifest.of(1, 96, List.of(Manifest.route("look", "/look/", "safe", TIMEOUT_MILLIS, 300, 2))));
        bed.startNodes(NODES, store);
        if (!bed.awaitReady(40_000)) {
            bed.say("the nodes did not become ready");
            return 2;
        }
        List<Try> tries = Collections.synchronizedList(new ArrayList<>());
        List<Check> checks = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger open = new AtomicInteger();
        long trafficMillis = bed.millis();
        bed.note("all nodes are ready; traffic begins");
        Thread traffic = new Thread(() -> {
            try {
                for (int number = 1; ; number++) {
                    String requestId = "r" + number;
                    Bed.Node node = bed.nodes.get(number % NODES);
                    open.incrementAndGet();
                    Store.daemon(() -> {
                        request(bed, node, requestId, tries);
                        open.decrementAndGet();
                    });
                    Thread.sleep(BETWEEN_REQUESTS_MILLIS);
                }
            } catch (InterruptedException e) {
                // the traffic has ended
            }
        });
        for (Bed.Node node : bed.nodes) {
            Store.daemon(() -> check(bed, node, checks));
        }
        traffic.setDaemon(true);
        traffic.start();
        bed.sleepUntil(trafficMillis + CALM_MILLIS);
        if (bed.trouble) {
            List<Object> odd = new ArrayList<>(Collections.nCopies(ODD_ITEMS, Map.of()));
            for (int index = 1; index <= ODD_ENTRIES; index++) {
                store.put("servers", "odd-" + index, odd);
                bed.note("another writer has written the entry odd-" + index + ", " + Json.write(odd).length()
                        + " bytes");
                Thread.sleep(BETWEEN_ODD_MILLIS);
            }
        }
        bed.sleepUntil(trafficMillis + CALM_MILLIS + AFTER_MILLIS);
        traffic.interrupt();
        for (long until = bed.millis() + 2 * TIMEOUT_MILLIS + 500; open.get() > 0 && bed.millis() < until; ) {
            Thread.sleep(50);
        }
        for (Bed.Node node : bed.nodes) {
            String log = bed.log(node);
            bed.say(node.name + ": " + (node.process.isAlive() ? "runs" : "has ended") + ", ready " + node.isReady()
                    + ", OutOfMemoryError in its log: "
                    + log.lines().filter(line -> line.contains("OutOfMemoryError")).count());
        }
        int served = 0;
        for (Try made : List.copyOf(tries)) {
            served += made.status() == 200 ? 1 : 0;
        }
        bed.say("requests " + tries.size() + ", served " + served);
        if (served < CALM_MILLIS / BETWEEN_REQUESTS_MILLIS / 2) {
            bed.say("too few requests were served");
            return 2;
        }
        int broken = 0;
        for (Bed.Node node : bed.nodes) {
            long span = longestSpan(node, List.copyOf(tries), List.copyOf(checks));
            broken += span >= Bed.CONTACT_MS ? 1 : 0;
            bed.say(node.name + ": the longest span in which it said that it is ready and took no channel, while "
                    + CLIENTS + " clients or more tried: " + span + " ms");
        }
        bed.say(broken > 0 ? "RECOVER broken" : "RECOVER held");
        return broken > 0 ? 1 : 0;
    }

    /** Returns the longest time between two checks with a 200, all in between too, and no channel taken meanwhile. */
    private static long longestSpan(Bed.Node node, List<Try> tries, List<Check> checks) {
        long longest = 0;
        long since = -1;
        for (Check check : checks) {
            if (!check.node().equals(node)) {
                continue;
            }
            if (!check.ready()) {
                since = -1;
                continue;
            }
            if (since < 0) {
                since = check.atMillis();
                continue;
            }
            int clients = 0;
            boolean taken = false;
            for (Try made : tries) {
                if (!made.node().equals(node)) {
                    continue;
                }
                if (made.atMillis() >= since && made.atMillis() <= check.atMillis()) {
                    clients++;
                }
                if (made.takenMillis() >= since && made.takenMillis() <= check.atMillis()) {
                    taken = true;
                }
            }
            if (taken) {
                since = check.atMillis();
            } else if (clients >= CLIENTS) {
                longest = Math.max(longest, check.atMillis() - since);
            }
        }
        return longest;
    }

    private static void check(Bed bed, Bed.Node node, List<Check> checks) {
        try {
            while (true) {
                boolean ready = node.isReady();
                checks.add(new Check(node, bed.millis(), ready));
                bed.note("check of " + node.name + ": " + (ready ? "ready" : "not ready"));
                Thread.sleep(CHECK_MILLIS);
            }
        } catch (InterruptedException e) {
            // the case has ended
        }
    }

    private static void request(Bed bed, Bed.Node node, String requestId, List<Try> tries) {
        long atMillis = bed.millis();
        long takenMillis = -1;
        int status = 0;
        String reason = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.ip, node.front), (int) TIMEOUT_MILLIS);
            takenMillis = bed.millis();
            socket.setSoTimeout((int) TIMEOUT_MILLIS + 500);
            String head = "GET /look/1 HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nX-Request-Id: " + requestId
                    + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nApi-Key: " + Manifest.KEY + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            status = Http.answer(new BufferedInputStream(socket.getInputStream())).status();
        } catch (IOException e) {
            reason = String.valueOf(e.getMessage());
        }
        tries.add(new Try(node, atMillis, takenMillis, status));
        bed.note("request " + requestId + " to " + node.name + " at " + atMillis + ": channel "
                + (takenMillis >= 0 ? "taken" : "not taken") + ", status " + status + " " + reason);
    }
}
