import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client hides a request in the body of another one, whose Transfer-Encoding is not chunked. Counts the requests that
 * a worker runs and whose id no client sent.
 */
final class Case8 {

    private static final int NODES = 3;
    private static final int REQUESTS = 30;
    private static final int HIDES_EACH = 10;
    private static final long DEADLINE_MILLIS = 1_000;

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
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Set<String> sent = ConcurrentHashMap.newKeySet();
        for (int index = 1; index <= 3; index++) {
            Worker worker = new Worker(
                    bed,
                    bed.network + "." + (100 + index),
                    "i-" + index,
                    "app",
                    6,
                    15,
                    (at, request, atMillis) -> {
                        String requestId = request.header("x-request-id");
                        ran.add(requestId);
                        bed.note("run " + requestId + " at " + at.id + ": " + request.line + ", body "
                                + request.body.length + " bytes, tenant " + request.header("x-tenant")
                                + (sent.contains(requestId) ? "" : ", UNASKED"));
                    });
            store.put("servers", worker.id, worker.entry("ready", 1));
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
        bed.note("all nodes are ready; traffic begins");
        int served = 0;
        for (int number = 1; number <= REQUESTS; number++) {
            Bed.Node node = bed.nodes.get(number % NODES);
            String requestId = "r" + number;
            sent.add(requestId);
            if (number % HIDES_EACH == 0) {
                hide(bed, node, requestId, "hidden-" + number);
            } else {
                Client.Result result = Client.send(
                        node, "POST", "/pay/1", requestId, Manifest.KEY, DEADLINE_MILLIS, new byte[600]);
                bed.note("answered " + requestId + " " + result.status() + " " + result.reason());
                served += result.status() == 200 ? 1 : 0;
            }
        }
        Thread.sleep(500);
        ran.removeAll(sent);
        bed.say("requests " + REQUESTS + ", served " + served + ", run at a worker with an id that no client sent "
                + ran.size() + " " + ran);
        if (served < REQUESTS / 2) {
            bed.say("too few requests were served");
            return 2;
        }
        bed.say(ran.isEmpty() ? "UNASKED held" : "UNASKED broken");
        return ran.isEmpty() ? 0 : 1;
    }

    /** Sends one request whose body is the text of another; without trouble it is sent in chunks. */
    private static void hide(Bed bed, Bed.Node node, String requestId, String hiddenId) {
        String hidden = "POST /pay/hidden HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nX-Request-Id: " + hiddenId
                + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nApi-Key: " + Manifest.KEY
                + "\r\nContent-Length: 0\r\n\r\n";
        String head = "POST /pay/1 HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nX-Request-Id: " + requestId
                + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nApi-Key: " + Manifest.KEY + "\r\nTransfer-Encoding: "
                + (bed.trouble ? "gzip" : "chunked") + "\r\n\r\n";
        String body = bed.trouble ? hidden : Integer.toHexString(hidden.length()) + "\r\n" + hidden + "\r\n0\r\n\r\n";
        bed.note("sent " + requestId + " to " + node.name + " with the text of " + hiddenId + " as its body, "
                + (bed.trouble ? "Transfer-Encoding: gzip" : "in chunks"));
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.answer(in);
            bed.note("answered " + requestId + " " + answer.status());
            if (bed.trouble) {
                Http.Message second = Http.answer(in);
                bed.note("a second answer on the channel: " + second.status() + " for "
                        + second.header("x-request-id"));
            }
        } catch (IOException e) {
            bed.note("the channel of " + requestId + ": " + e.getMessage());
        }
    }
}
