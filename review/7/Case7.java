import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one zone send bodies of half of max_body_bytes in chunks; a burst has 1.6 times as many of them at a time.
 * Counts the requests that a worker ran with another body than the client's. Also notes the requests that got no answer
 * within half a second after their route's timeout, and whether the nodes still work once the burst is over.
 */
final class Case7 {

    private static final int NODES = 3;
    private static final int USUAL_CLIENTS = 16;
    private static final int BURST_CLIENTS = 26;
    private static final long BURST_MILLIS = 9_000;
    private static final int BODY_BYTES = 2_200_000;
    private static final long WORK_MILLIS = 400;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long LATE_MILLIS = 500;
    private static final long PRESSED_MILLIS = 5_000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final int CHUNK_BYTES = 10_000;
    private static final int CHUNKS_AT_ONCE = 4;
    private static final long PAUSE_MILLIS = 10;
    private static final byte[] BODY = body();

    private static byte[] body() {
        ByteBuffer body = ByteBuffer.allocate(BODY_BYTES);
        for (int number = 0; body.remaining() >= Integer.BYTES; number++) {
            body.putInt(number);
        }
        return body.array();
    }

    /** What became of a request whose last byte the client has sent. */
    private record Sent(String requestId, String node, long atMillis, int status, long answeredAfterMillis) {}

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Bed bed = new Bed(Path.of("review/7/record.txt"))) {
            code = play(bed);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        Runtime.getRuntime().halt(code);
    }

    private static int play(Bed bed) throws Exception {
        Store store = new Store(bed.network + ".1");
        AtomicInteger changed = new AtomicInteger();
        for (int index = 1; index <= 3; index++) {
            Worker worker = new Worker(
                    bed,
                    bed.network + "." + (100 + index),
                    "i-" + index,
                    "app",
                    64,
                    WORK_MILLIS,
                    (at, request, millis) -> {
                        boolean whole = request.body.length == 0 || Arrays.equals(request.body, BODY);
                        if (!whole) {
                            changed.incrementAndGet();
                        }
                        bed.note("run " + request.header("x-request-id") + " at " + at.id + ", body "
                                + request.body.length + " bytes" + (whole ? "" : ", CHANGED"));
                    });
            store.put("servers", worker.id, worker.entry("ready", 1));
        }
        store.put(
                "config",
                "main",
                Manifest.of(
                        1,
                        370,
                        List.of(
                                Manifest.route("pay", "/pay/", "unsafe", TIMEOUT_MILLIS, 1_000, 1),
                                Manifest.route("look", "/look/", "safe", TIMEOUT_MILLIS, 1_000, 2))));
        bed.startNodes(NODES, store);
        if (!bed.awaitReady(40_000)) {
            bed.say("the nodes did not become ready");
            return 2;
        }
        Balancer balancer = new Balancer(bed);
        List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger numbers = new AtomicInteger();
        long trafficMillis = bed.millis();
        long endMillis = trafficMillis + 4_000 + BURST_MILLIS + 4_000;
        long burstMillis = trafficMillis + 4_000;
        bed.note("all nodes are ready; traffic of " + USUAL_CLIENTS + " clients begins");
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < USUAL_CLIENTS; index++) {
            clients.add(client(bed, balancer, sent, numbers, trafficMillis, endMillis));
        }
        if (bed.trouble) {
            bed.note("a burst: " + BURST_CLIENTS + " clients from 4 s on, for " + BURST_MILLIS + " ms");
            for (int index = USUAL_CLIENTS; index < BURST_CLIENTS; index++) {
                clients.add(client(bed, balancer, sent, numbers, burstMillis, burstMillis + BURST_MILLIS));
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        bed.note("the clients have ended");
        if (bed.trouble) {
            bed.sleepUntil(bed.millis() + PRESSED_MILLIS + RECOVERY_MILLIS);
        }
        for (Bed.Node node : bed.nodes) {
            int served = 0;
            for (int index = 0; index < 5; index++) {
                Client.Result result = Client.send(
                        node,
                        "GET",
                        "/look/1",
                        "after-" + node.name + "-" + index,
                        Manifest.KEY,
                        TIMEOUT_MILLIS + LATE_MILLIS,
                        new byte[0]);
                bed.note("afterwards " + node.name + " answers " + result.status() + " " + result.reason());
                served += result.status() == 200 ? 1 : 0;
            }
            String log = bed.log(node);
            bed.say(node.name + ": " + (node.process.isAlive() ? "runs" : "has ended") + ", ready " + node.isReady()
                    + ", serves " + served + " of 5 small requests afterwards; OutOfMemoryError in its log: "
                    + log.lines().filter(line -> line.contains("OutOfMemoryError")).count());
        }

        int past = 0;
        int unanswered = 0;
        int answered = 0;
        for (Sent request : List.copyOf(sent)) {
            answered += request.status() == 200 ? 1 : 0;
            past += request.status() == 0 || request.answeredAfterMillis() > TIMEOUT_MILLIS ? 1 : 0;
            unanswered += request.status() == 0 ? 1 : 0;
        }
        bed.say("requests that were sent as a whole " + sent.size() + ", served " + answered
                + "; unanswered at their route's timeout " + past + ", without an answer half a second later "
                + unanswered);
        bed.say("requests that a worker ran with a changed body " + changed);
        if (answered < 20) {
            bed.say("too few requests were served");
            return 2;
        }
        bed.say(changed.get() > 0 ? "UNASKED broken" : "UNASKED held");
        return changed.get() > 0 ? 1 : 0;
    }

    /** The platform's address: the node of the zone, unless two checks in a row had no 200; then another one. */
    private static final class Balancer {
        private final Bed bed;
        private final int[] misses;

        Balancer(Bed bed) {
            this.bed = bed;
            this.misses = new int[bed.nodes.size()];
            for (int index = 0; index < bed.nodes.size(); index++) {
                int checked = index;
                Store.daemon(() -> check(checked));
            }
        }

        private void check(int index) {
            try {
                while (true) {
                    boolean ready = bed.nodes.get(index).isReady();
                    synchronized (this) {
                        misses[index] = ready ? 0 : misses[index] + 1;
                    }
                    Thread.sleep(1_000);
                }
            } catch (InterruptedException e) {
                // the case has ended
            }
        }

        synchronized Bed.Node next() {
            for (int index = bed.nodes.size() - 1; index >= 0; index--) {
                if (misses[index] < 2) {
                    return bed.nodes.get(index);
                }
            }
            return bed.nodes.get(bed.nodes.size() - 1);
        }
    }

    /** One client, which sends its next request when the one before has ended. */
    private static Thread client(
            Bed bed, Balancer balancer, List<Sent> sent, AtomicInteger numbers, long fromMillis, long untilMillis) {
        Thread thread = new Thread(() -> {
            try {
                bed.sleepUntil(fromMillis);
                while (bed.millis() < untilMillis) {
                    int status = request(bed, balancer.next(), sent, "r" + numbers.incrementAndGet());
                    // a client comes back after a refusal when it is told to, and after another answer at once
                    Thread.sleep(status == 503 ? 300 : 20);
                }
            } catch (InterruptedException e) {
                // the case has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static int request(Bed bed, Bed.Node node, List<Sent> sent, String requestId)
            throws InterruptedException {
        int status = 0;
        long sentMillis = -1;
        String reason = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
            socket.setSoTimeout((int) (TIMEOUT_MILLIS + LATE_MILLIS));
            String head = "POST /pay/1 HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nX-Request-Id: " + requestId
                    + "\r\nX-Deadline-Ms: 4000\r\nApi-Key: " + Manifest.KEY + "\r\nTransfer-Encoding: chunked\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            writeChunks(socket.getOutputStream());
            socket.getOutputStream().flush();
            sentMillis = bed.millis();
            status = Http.answer(new BufferedInputStream(socket.getInputStream())).status();
        } catch (IOException e) {
            reason = String.valueOf(e.getMessage());
        }
        bed.note("request " + requestId + " to " + node.name + ": "
                + (sentMillis < 0 ? "not sent as a whole" : "sent at " + sentMillis) + ", status " + status + " "
                + reason);
        // one that ended with its channel has been told so; only those that got nothing at all are unanswered
        if (sentMillis >= 0 && (status != 0 || "Read timed out".equals(reason))) {
            sent.add(new Sent(requestId, node.name, sentMillis, status, bed.millis() - sentMillis));
        }
        return status;
    }

    /** Writes the body in chunks, each of which begins with its number. */
    private static void writeChunks(OutputStream out) throws IOException, InterruptedException {
        for (int number = 0; number < BODY_BYTES / CHUNK_BYTES; number++) {
            out.write((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(BODY, number * CHUNK_BYTES, CHUNK_BYTES);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            if (number % CHUNKS_AT_ONCE == 0) {
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
}
