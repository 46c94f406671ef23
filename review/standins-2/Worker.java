import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** A worker of a plain service: runs each request for some time, and answers with its seal. */
final class Worker {

    final String id;
    final String service;
    private final Bed bed;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private final int slotCount;
    private final Semaphore slots;
    private final long workMillis;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private final Listener onRun;
    private volatile boolean ended;

    /** Is told of each request that begins to run. */
    interface Listener {
        void runs(Worker worker, Http.Message request, long atMillis);
    }

    Worker(Bed bed, String host, String id, String service, int slots, long workMillis, Listener onRun)
            throws IOException {
        this.bed = bed;
        this.id = id;
        this.service = service;
        this.slotCount = slots;
        this.slots = new Semaphore(slots);
        this.workMillis = workMillis;
        this.onRun = onRun;
        this.listener = new ServerSocket(0, 200, InetAddress.getByName(host));
        Store.daemon(this::accept);
    }

    Map<String, Object> entry(String state, int sequence) {
        return Json.of(
                "service", service,
                "address", listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort(),
                "zone", "zone-a",
                "version", "v1",
                "slots", slotCount,
                "state", state,
                "cold_remaining_ms", 0,
                "born", born,
                "sequence", sequence);
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                channels.add(socket);
                Store.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Exits: no more channels, and the open ones end. */
    void exit() throws IOException {
        ended = true;
        listener.close();
        for (Socket channel : channels) {
            channel.close();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.request(in); request != null; request = Http.request(in)) {
                String requestId = request.header("x-request-id");
                String expected = request.header("x-expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    bed.note("worker " + id + " answers 421 to " + requestId);
                    write(out, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", requestId, "");
                    continue;
                }
                if (!slots.tryAcquire()) {
                    write(out, "503 Service Unavailable", "X-Not-Run: 1\r\n", requestId, "");
                    continue;
                }
                try {
                    onRun.runs(this, request, bed.millis());
                    Thread.sleep(workMillis);
                } finally {
                    slots.release();
                }
                if (ended) {
                    return;
                }
                write(out, "200 OK", "X-Response-Seal: seal-" + requestId + "\r\n", requestId, "done by " + id);
            }
        } catch (IOException | InterruptedException e) {
            // the caller has gone, or the worker has ended
        } finally {
            channels.remove(socket);
        }
    }

    private void write(OutputStream out, String status, String header, String requestId, String body)
            throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\nX-Request-Id: " + requestId + "\r\n" + header
                        + "X-Server-Load: " + (slotCount - slots.availablePermits()) + ",0," + slotCount
                        + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
