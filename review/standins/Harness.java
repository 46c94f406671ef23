import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform that the cases share: store, workers, clients, and the nodes as processes. */
final class Harness {

    static final long START = System.nanoTime();
    static final String HOST = "care.example";
    static final String KEY = "key-of-studio";

    private final Path repository;
    private final Path folder;
    private final PrintWriter record;
    private final List<Node> nodes = new ArrayList<>();

    /**
     * @param repository the root of the repository, in which the nodes start
     * @param record the file that receives what was sent, answered and run
     */
    Harness(Path repository, Path record) throws IOException {
        this.repository = repository;
        this.folder = Files.createTempDirectory("review-case");
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
    }

    /** What a case does. */
    interface Case {
        void run(Harness harness) throws Exception;
    }

    /** Runs a case; its arguments are the root of the repository and the file for the record. */
    static void play(String[] arguments, Case played) {
        Harness harness = null;
        try {
            harness = new Harness(Path.of(arguments[0]), Path.of(arguments[1]));
            played.run(harness);
        } catch (Throwable e) {
            if (harness == null) {
                System.out.println("the case could not run: " + e);
                Runtime.getRuntime().halt(2);
            }
            harness.end(2, "the case could not run: " + e);
        }
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void log(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8.3f s  %s%n", now() / 1000.0, line);
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns the first of some ports that are free on all loopback addresses of a case, below those of outgoing channels. */
    static int freePorts(int count, String... hosts) throws IOException {
        java.util.Random random = new java.util.Random();
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 20_000 + random.nextInt(10_000);
            if (areFree(first, count, hosts)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int first, int count, String... hosts) {
        for (String host : hosts) {
            for (int port = first; port < first + count; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                    socket.getLocalPort();
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run. */
    void end(int code, String verdict) {
        log("verdict: " + verdict + "; exit code " + code);
        System.out.println(verdict);
        stopAll();
        Runtime.getRuntime().halt(code);
    }

    private void stopAll() {
        synchronized (nodes) {
            for (Node node : nodes) {
                if (node.process != null) {
                    node.process.destroyForcibly();
                }
            }
            for (Node node : nodes) {
                try {
                    if (node.process != null) {
                        node.process.waitFor(5, TimeUnit.SECONDS);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            nodes.clear();
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // the folder is gone already
        }
    }

    // ---- bytes of HTTP/1.1 ----

    /** A message: its first line, its headers in lower case, its body, and whether its framing shows that it is whole. */
    static final class Message {
        String firstLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean whole;
        String end = "";
        long firstByteMillis = -1;

        int status() {
            String[] words = firstLine.split(" ");
            return words.length > 1 ? Integer.parseInt(words[1]) : 0;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; returns null if the channel ends before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        String first = line(in);
        if (first == null) {
            return null;
        }
        message.firstByteMillis = now();
        message.firstLine = first;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            for (String header = line(in); ; header = line(in)) {
                if (header == null) {
                    message.end = "closed within the headers";
                    return message;
                }
                if (header.isEmpty()) {
                    break;
                }
                int colon = header.indexOf(':');
                message.headers.put(
                        header.substring(0, colon).toLowerCase(Locale.ROOT),
                        header.substring(colon + 1).trim());
            }
            String length = message.header("content-length");
            if (message.header("transfer-encoding").contains("chunked")) {
                readChunks(in, message, body);
            } else if (!length.isEmpty() || !response) {
                long left = length.isEmpty() ? 0 : Long.parseLong(length);
                while (left > 0) {
                    int b = in.read();
                    if (b < 0) {
                        break;
                    }
                    body.write(b);
                    left--;
                }
                message.whole = left == 0;
                message.end = message.whole ? "by its length" : "closed before its length";
            } else {
                for (int b = in.read(); b >= 0; b = in.read()) {
                    body.write(b);
                }
                message.whole = true;
                message.end = "by an orderly close, as an answer without a length does";
            }
        } catch (SocketTimeoutException e) {
            message.end = "nothing more came";
        } catch (IOException e) {
            message.end = "reset: " + e.getMessage();
        }
        message.body = body.toByteArray();
        return message;
    }

    private static void readChunks(InputStream in, Message message, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                message.end = "closed before the last chunk";
                return;
            }
            int left = Integer.parseInt(size.split(";")[0].trim(), 16);
            boolean last = left == 0;
            while (left > 0) {
                int b = in.read();
                if (b < 0) {
                    message.end = "closed within a chunk";
                    return;
                }
                body.write(b);
                left--;
            }
            if (line(in) == null) {
                message.end = "closed after a chunk";
                return;
            }
            if (last) {
                message.whole = true;
                message.end = "by its last chunk";
                return;
            }
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(bytes(text));
        out.flush();
    }

    /** Closes a channel with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }

    // ---- servers ----

    /** Serves one channel. */
    interface Channel {
        void serve(Socket socket, InputStream in, OutputStream out) throws IOException;
    }

    static ServerSocket serve(String host, int port, Channel channel) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 512);
        thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    thread(() -> {
                        try (socket) {
                            channel.serve(
                                    socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                        } catch (IOException e) {
                            // the other side has closed the channel
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    /** The platform's store. */
    static final class Store {

        /** How the store meets calls. */
        enum Mode {
            UP,
            SILENT,
            BUSY,
            RESET
        }

        private record Entry(String name, long revision, String spec) {}

        private record Change(String kind, Entry entry, boolean removed) {}

        private final Map<String, TreeMap<String, Entry>> kinds = new TreeMap<>();
        private final List<Change> history = new ArrayList<>();
        private final List<Socket> open = new ArrayList<>();
        private final List<Socket> lost = new ArrayList<>();
        private final String host;
        final int port;
        private long revision = 100;
        private volatile Mode mode = Mode.UP;
        private long answerMillis = 4;
        int calls;

        Store(String host) throws IOException {
            this.host = host;
            this.port = serve(host, 0, this::channel).getLocalPort();
        }

        String address() {
            return host + ":" + port;
        }

        /** Changes how calls are met; calls that a silent store has received are never answered. */
        void mode(Mode value) {
            synchronized (this) {
                mode = value;
                notifyAll();
                if (value == Mode.RESET) {
                    open.forEach(Harness::reset);
                    open.clear();
                }
            }
        }

        /** From now on nothing comes through on the channels that are open, and no end of them is seen; new ones work. */
        synchronized int silenceOpenChannels() {
            lost.addAll(open);
            return open.size();
        }

        private synchronized boolean isLost(Socket socket) {
            return lost.contains(socket);
        }

        private void channel(Socket socket, InputStream in, OutputStream out) throws IOException {
            synchronized (this) {
                if (mode == Mode.RESET) {
                    reset(socket);
                    return;
                }
                open.add(socket);
            }
            for (Message call = read(in, false); call != null; call = read(in, false)) {
                if (isLost(socket)) {
                    continue;
                }
                calls++;
                sleep(answerMillis);
                String answer = answer(call);
                if (answer == null || isLost(socket)) {
                    // received by a store that is silent: this channel returns nothing further
                    while (in.read() >= 0) {
                        continue;
                    }
                    return;
                }
                if (answer.isEmpty()) {
                    return;
                }
                write(out, answer);
            }
        }

        private static String respond(int status, String body) {
            return "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
        }

        private String answer(Message call) {
            synchronized (this) {
                if (mode == Mode.SILENT) {
                    return null;
                }
                if (mode == Mode.BUSY) {
                    return respond(503, "{}");
                }
            }
            String[] words = call.firstLine.split(" ");
            String path = words[1].contains("?") ? words[1].substring(0, words[1].indexOf('?')) : words[1];
            String query = words[1].contains("?") ? words[1].substring(words[1].indexOf('?') + 1) : "";
            String[] parts = path.split("/");
            String kind = parts[2];
            return switch (words[0]) {
                case "GET" -> query.contains("watch=") ? watch(kind, query) : list(kind);
                case "POST" -> create(kind, call.text());
                case "PUT" -> {
                    put(kind, parts[3], spec(call.text()));
                    yield respond(200, "{}");
                }
                default -> {
                    remove(kind, parts[3]);
                    yield respond(200, "{}");
                }
            };
        }

        private static String spec(String body) {
            int at = body.indexOf("\"spec\":");
            return body.substring(at + 7, body.length() - 1);
        }

        private synchronized String create(String kind, String body) {
            Matcher name = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]+)\"").matcher(body);
            name.find();
            if (kind(kind).containsKey(name.group(1))) {
                return respond(409, json(kind(kind).get(name.group(1))));
            }
            put(kind, name.group(1), spec(body));
            return respond(200, json(kind(kind).get(name.group(1))));
        }

        private TreeMap<String, Entry> kind(String kind) {
            return kinds.computeIfAbsent(kind, name -> new TreeMap<>());
        }

        private static String json(Entry entry) {
            return "{\"metadata\":{\"name\":\"" + entry.name + "\",\"revision\":" + entry.revision
                    + ",\"create_rev\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + entry.spec
                    + ",\"status\":null}";
        }

        private synchronized String list(String kind) {
            List<String> items = new ArrayList<>();
            kind(kind).values().forEach(entry -> items.add(json(entry)));
            return respond(
                    200,
                    "{\"items\":[" + String.join(",", items) + "],\"more\":false,\"current_rev\":" + revision + "}");
        }

        private String watch(String kind, String query) {
            long after = Long.parseLong(query.replaceAll(".*watch=(\\d+).*", "$1"));
            long wait = query.contains("wait_ms=") ? Long.parseLong(query.replaceAll(".*wait_ms=(\\d+).*", "$1")) : 0;
            long until = now() + wait;
            synchronized (this) {
                while (true) {
                    if (mode == Mode.SILENT) {
                        return null;
                    }
                    if (mode == Mode.BUSY) {
                        // a watch that is waiting may be cut off
                        return "";
                    }
                    List<String> events = new ArrayList<>();
                    for (Change change : history) {
                        if (change.kind.equals(kind) && change.entry.revision > after) {
                            events.add("{\"object\":" + json(change.entry) + ",\"removed\":" + change.removed + "}");
                        }
                    }
                    if (!events.isEmpty() || now() >= until) {
                        return respond(
                                200,
                                "{\"events\":[" + String.join(",", events) + "],\"current_rev\":" + revision + "}");
                    }
                    try {
                        wait(Math.max(1, until - now()));
                    } catch (InterruptedException e) {
                        return null;
                    }
                }
            }
        }

        /** Writes an object, as an operator or a worker does. Returns when the store has accepted it. */
        synchronized long put(String kind, String name, String spec) {
            Entry known = kind(kind).get(name);
            if (known != null && known.spec.equals(spec)) {
                return known.revision;
            }
            revision++;
            Entry entry = new Entry(name, revision, spec);
            kind(kind).put(name, entry);
            history.add(new Change(kind, entry, false));
            notifyAll();
            return revision;
        }

        synchronized void remove(String kind, String name) {
            Entry known = kind(kind).remove(name);
            if (known != null) {
                revision++;
                history.add(new Change(kind, new Entry(name, revision, known.spec), true));
                notifyAll();
            }
        }
    }

    // ---- the manifest and the workers' entries ----

    static String route(String name, String prefix, String kind, String service, long timeout, long target, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + target
                + ",\"gap_target_ms\":800,\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
                + "}";
    }

    static String manifest(long version, List<String> routes, String services, String keys) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
                + "\"idle_timeout_ms\":5000},\"tenants\":[{\"name\":\"studio\",\"api_keys\":[" + keys + "]}]}";
    }

    static String plainService(String name, int channels) {
        return "{\"name\":\"" + name + "\",\"max_connections\":" + channels + "}";
    }

    static String worker(String service, String address, int slots, String state, long born) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address
                + "\",\"zone\":\"prairie-a\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + born + "}";
    }

    // ---- nodes ----

    /** A node: the run line of the deploy file with a settings file like that of a small deployment. */
    final class Node {
        final String name;
        final String ip;
        final int front;
        final int ready;
        private final Path settings;
        private final List<String> command = new ArrayList<>();
        Process process;

        /** @param peerPort the first of twenty free ports */
        Node(String name, String ip, int peerPort, String storeAddress, String seeds, int memoryMb) throws IOException {
            this.name = name;
            this.ip = ip;
            this.front = peerPort + 16;
            this.ready = peerPort + 17;
            this.settings = folder.resolve(name + ".toml");
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(repository.resolve("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("no run line in the deploy file");
            }
            for (String word : run.group(1).split(" ")) {
                command.add(word.equals("9464") ? Integer.toString(peerPort + 19) : word);
            }
            Files.writeString(
                    settings,
                    String.join(
                            "\n",
                            "node_name = \"" + name + "\"",
                            "role = \"entry\"",
                            "machine_class = \"front\"",
                            "serves = [\"front\",\"control\"]",
                            "ip = \"" + ip + "\"",
                            "zone = \"prairie-a\"",
                            "region = \"prairie\"",
                            "internal_ports = [" + peerPort + "," + (peerPort + 15) + "]",
                            "seed_nodes = [" + seeds + "]",
                            "bootstrap = false",
                            "discovery = \"platform\"",
                            "entry = \"vip\"",
                            "heartbeat_ms = 1200",
                            "[listen]",
                            "front = \"" + ip + ":" + front + "\"",
                            "ready = \"" + ip + ":" + ready + "\"",
                            "control = \"" + ip + ":" + (peerPort + 18) + "\"",
                            "[limits]",
                            "cpu_share = 0.75",
                            "cpu_cores = 1",
                            "memory_mb = " + memoryMb,
                            "max_fds = 4100",
                            "link_mbps = 1000.0",
                            "disk_mb = 0",
                            "[bounds]",
                            "contact_ms = 3000",
                            "drain_ms = 2000",
                            "grace_s = 8",
                            "config_apply_ms = 2000",
                            "rollback_slack_ms = 250",
                            "fail_closed = false",
                            "retry_budget_ratio = 0.2",
                            "budget_window_s = 10",
                            "retry_budget_slack = 52",
                            "recovery_s = 12",
                            "[platform]",
                            "address = \"" + storeAddress + "\"",
                            "form = \"objects\"",
                            "writes_per_s = 400",
                            "reads_per_s = 2000",
                            "history_s = 20",
                            "value_bytes = 1048576",
                            ""));
            synchronized (nodes) {
                nodes.add(this);
            }
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
            Map<String, String> caller = Map.copyOf(builder.environment());
            builder.environment().clear();
            for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (caller.containsKey(kept)) {
                    builder.environment().put(kept, caller.get(kept));
                }
            }
            builder.environment().put("LAGOONSEAM_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            folder.resolve(name + ".log").toFile()));
            process = builder.start();
            log(name + " starts as process " + process.pid());
        }

        String output() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }

        void signal(String signal) throws IOException, InterruptedException {
            log(name + " gets SIG" + signal);
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ready), 500);
                socket.setSoTimeout(1000);
                write(socket.getOutputStream(), "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean awaitReady(long millis) {
            long until = now() + millis;
            while (now() < until) {
                if (isReady()) {
                    log(name + " is ready");
                    return true;
                }
                sleep(50);
            }
            return false;
        }

        /** Sends a request on a channel of its own and returns the answer, or null if there is none. */
        Message call(String method, String path, String id, long deadlineMillis, String more, byte[] body) {
            return call(KEY, method, path, id, deadlineMillis, more, body);
        }

        Message call(String key, String method, String path, String id, long deadlineMillis, String more, byte[] body) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, front), 1000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) deadlineMillis + 500);
                OutputStream out = socket.getOutputStream();
                out.write(bytes(head(key, method, path, id, deadlineMillis, more, body.length)));
                out.write(body);
                out.flush();
                return read(new BufferedInputStream(socket.getInputStream()), true);
            } catch (IOException e) {
                return null;
            }
        }
    }

    static String head(String key, String method, String path, String id, long deadlineMillis, String more, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nApi-Key: " + key + "\r\n" + more
                + (method.equals("GET") ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
    }
}
