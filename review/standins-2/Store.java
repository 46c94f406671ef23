import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store in the form 'objects', as PROTOCOL.md tells it: linearizable, with one revision counter. */
final class Store {

    /** How long an answer takes, in milliseconds: the sheet's 4 ms. */
    volatile long answerMillis = 4;

    /** How many objects a page of a listing has at most; the rest is on the next pages. */
    volatile int pageItems = 500;

    /** How many characters a page has at most, unless one object alone has more. */
    private static final int PAGE_CHARACTERS = 1 << 20;

    private final ServerSocket listener;
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private long revision = 100;

    private record Change(long revision, String kind, boolean removed, Map<String, Object> object) {}

    /** One channel of a caller. */
    private static final class Channel {
        private final Socket socket;
        private volatile boolean watching;
        private volatile boolean cut;
        private volatile boolean silent;

        Channel(Socket socket) {
            this.socket = socket;
        }
    }

    Store(String host) throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName(host));
        daemon(this::accept);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Channel channel = new Channel(socket);
                channels.add(channel);
                daemon(() -> serve(channel));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Cuts off the watches that are waiting now: their channels are closed without an answer. */
    synchronized int cutWaitingWatches() {
        int count = 0;
        for (Channel channel : channels) {
            if (channel.watching && !channel.cut) {
                channel.cut = true;
                count++;
            }
        }
        notifyAll();
        return count;
    }

    /** Has all channels that are open now go silent for good, without a reset; new ones work. */
    synchronized int silenceOpenChannels() {
        channels.forEach(channel -> channel.silent = true);
        notifyAll();
        return channels.size();
    }

    /** Writes an object as the operator or a worker does, and returns the revision that the store confirms. */
    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> known = kind(kind).get(name);
        if (known != null && Json.write(spec).equals(Json.write(known.get("spec")))) {
            return revision;
        }
        revision++;
        long created = known == null ? revision : (long) Json.map(known.get("metadata")).get("create_rev");
        Map<String, Object> object = Json.of(
                "metadata",
                Json.of(
                        "name", name, "revision", revision, "create_rev", created, "finalizers", List.of(), "deleting",
                        false),
                "spec",
                spec,
                "status",
                null);
        kind(kind).put(name, object);
        history.add(new Change(revision, kind, false, object));
        notifyAll();
        return revision;
    }

    synchronized long remove(String kind, String name) {
        Map<String, Object> known = kind(kind).remove(name);
        if (known != null) {
            revision++;
            history.add(new Change(revision, kind, true, known));
            notifyAll();
        }
        return revision;
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, name -> new TreeMap<>());
    }

    private void serve(Channel channel) {
        try (Socket socket = channel.socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.request(in); call != null; call = Http.request(in)) {
                Thread.sleep(answerMillis);
                Answer answer = answer(channel, call);
                if (answer == null) {
                    return;
                }
                while (channel.silent) {
                    Thread.sleep(1_000_000);
                }
                byte[] body = Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n";
                byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
                byte[] whole = new byte[headBytes.length + body.length];
                System.arraycopy(headBytes, 0, whole, 0, headBytes.length);
                System.arraycopy(body, 0, whole, headBytes.length, body.length);
                out.write(whole);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // the caller has gone
        } finally {
            channels.remove(channel);
        }
    }

    private record Answer(int status, Object body) {}

    private synchronized Answer answer(Channel channel, Http.Message call) throws InterruptedException {
        String[] target = call.word(1).split("\\?", 2);
        Map<String, String> query = new LinkedHashMap<>();
        for (String pair : target.length < 2 ? new String[0] : target[1].split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        String[] path = target[0].split("/");
        if (path.length < 3 || !"objects".equals(path[1])) {
            return new Answer(404, Json.of());
        }
        String kind = path[2];
        String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : "";
        Map<String, Object> body =
                call.body.length == 0 ? Json.of() : Json.map(Json.read(new String(call.body, StandardCharsets.UTF_8)));
        Map<String, Object> metadata = Json.map(body.get("metadata"));
        switch (call.word(0)) {
            case "GET":
                if (query.containsKey("watch")) {
                    return watch(channel, kind, Long.parseLong(query.get("watch")), query);
                }
                if (!name.isEmpty()) {
                    Map<String, Object> object = kind(kind).get(name);
                    return object == null ? new Answer(404, Json.of()) : new Answer(200, object);
                }
                return page(kind(kind).tailMap(query.getOrDefault("after_revision", ""), false));
            case "POST":
                String created = (String) metadata.get("name");
                if (kind(kind).containsKey(created)) {
                    return new Answer(409, kind(kind).get(created));
                }
                put(kind, created, body.get("spec"));
                return new Answer(200, kind(kind).get(created));
            case "PUT":
                Map<String, Object> known = kind(kind).get(name);
                if (known == null) {
                    return new Answer(404, Json.of());
                }
                Object condition = metadata.get("revision");
                if (condition != null && !condition.equals(Json.map(known.get("metadata")).get("revision"))) {
                    return new Answer(409, known);
                }
                put(kind, name, body.get("spec"));
                return new Answer(200, kind(kind).get(name));
            case "DELETE":
                Map<String, Object> gone = kind(kind).get(name);
                remove(kind, name);
                return gone == null ? new Answer(404, Json.of()) : new Answer(200, gone);
            default:
                return new Answer(405, Json.of());
        }
    }

    private Answer page(Map<String, Map<String, Object>> rest) {
        List<Object> items = new ArrayList<>();
        long characters = 0;
        for (Map<String, Object> object : rest.values()) {
            characters += Json.write(object).length();
            if (items.size() == pageItems || !items.isEmpty() && characters > PAGE_CHARACTERS) {
                break;
            }
            items.add(object);
        }
        return new Answer(
                200, Json.of("items", items, "more", items.size() < rest.size(), "current_rev", revision));
    }

    private Answer watch(Channel channel, String kind, long from, Map<String, String> query)
            throws InterruptedException {
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        channel.watching = true;
        try {
            while (true) {
                List<Object> events = new ArrayList<>();
                for (Change change : history) {
                    if (change.revision > from && change.kind.equals(kind)) {
                        events.add(Json.of("removed", change.removed, "object", change.object));
                    }
                }
                long left = until - System.currentTimeMillis();
                if (channel.cut) {
                    return null;
                }
                if (!events.isEmpty() || left <= 0) {
                    return new Answer(200, Json.of("events", events, "current_rev", revision));
                }
                wait(left);
            }
        } finally {
            channel.watching = false;
        }
    }
}
