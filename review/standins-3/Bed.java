import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the scripts of this review share: stand-ins, processes of the project, and the record. */
final class Bed implements Closeable {

    static final String HOST = "studio.example";
    static final String KEY = "key-of-the-studio";

    private static final long START_NANOS = System.nanoTime();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Path scratch;
    final PrintWriter record;
    private final List<Closeable> owned = Collections.synchronizedList(new ArrayList<>());
    private final int network;

    Bed(String caseFolder) throws IOException {
        folder = Path.of(caseFolder);
        scratch = Files.createTempDirectory("review-case");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        network = (int) (2 + ProcessHandle.current().pid() % 250);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("disruption: " + (trouble ? "on" : "off"));
    }

    /** The time since the start of the script, in milliseconds, on the steady clock. */
    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    static void sleepUntil(long millis) throws InterruptedException {
        long left = millis - now();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    synchronized void note(String text) {
        record.println(String.format(Locale.ROOT, "%9.3f  %s", now() / 1_000.0, text));
    }

    /** Returns a loopback address of its own for a machine. */
    String address(int machine) {
        return "127.93." + network + "." + machine;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    <T extends Closeable> T own(T thing) {
        owned.add(thing);
        return thing;
    }

    @Override
    public void close() {
        List<Closeable> ending = new ArrayList<>(owned);
        owned.clear();
        Collections.reverse(ending);
        for (Closeable thing : ending) {
            try {
                thing.close();
            } catch (IOException e) {
                // it has ended already
            }
        }
        try (Stream<Path> files = Files.walk(scratch)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            // it was deleted before
        }
    }

    /** Ends everything and the script. */
    void end(int code, String verdict) {
        note(verdict + "; exit " + code);
        System.out.println(verdict);
        close();
        System.exit(code);
    }

    // ---------------------------------------------------------------- nodes

    /** A process of the project, started with the line of the deploy file. */
    static final class Node implements Closeable {
        final String name;
        final String host;
        final int front;
        final int ready;
        final Path log;
        private final List<String> command;
        private final Path settings;
        private Process process;

        Node(String name, String host, int front, int ready, Path settings, Path log, List<String> command) {
            this.name = name;
            this.host = host;
            this.front = front;
            this.ready = ready;
            this.settings = settings;
            this.log = log;
            this.command = command;
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("LAGOONSEAM_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        boolean isReady() {
            try (Channel channel = new Channel(host, ready, 500)) {
                return channel.call("GET", "/ready", Map.of("Host", "ready"), new byte[0]).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        public void close() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    /** Returns a process that is not started; its machine is one of 1 to 200. */
    Node node(int machine, String storeAddress, int internalPort, List<String> seeds, String more) throws IOException {
        String host = address(machine);
        int front = freePort(host);
        int ready = freePort(host);
        String name = "front-a-" + machine;
        Path settings = scratch.resolve(name + ".toml");
        StringBuilder seedList = new StringBuilder();
        for (String seed : seeds) {
            seedList.append(seedList.length() == 0 ? "" : ",").append('"').append(seed).append(":8229\"");
        }
        Files.writeString(
                settings,
                "node_name = \"" + name + "\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\n"
                        + "ip = \"" + host + "\"\nzone = \"zone-a\"\nregion = \"region\"\n"
                        + "internal_ports = [" + internalPort + "," + (internalPort + 15) + "]\n"
                        + "seed_nodes = [" + seedList + "]\nbootstrap = true\nheartbeat_ms = 1200\n"
                        + "[zones]\nzone-a = \"region\"\n"
                        + "[listen]\nfront = \"" + host + ":" + front + "\"\nready = \"" + host + ":" + ready + "\"\n"
                        + "control = \"" + host + ":8229\"\n"
                        + "[limits]\ncpu_share = 0.75\ncpu_cores = 1\nmemory_mb = 430\nmax_fds = 4100\n"
                        + "link_mbps = 1000.0\ndisk_mb = 0\n"
                        + "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n"
                        + "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
                        + "config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
                        + "retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_slack = 52\n"
                        + "[platform]\naddress = \"" + storeAddress + "\"\nform = \"objects\"\n"
                        + "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n"
                        + more);
        return own(new Node(name, host, front, ready, settings, scratch.resolve(name + ".log"), runLine()));
    }

    /** Returns the words of the line {@code run} of the deploy file. */
    private static List<String> runLine() throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!line.find()) {
            throw new IOException("no line run in the deploy file");
        }
        return List.of(line.group(1).split(" +"));
    }

    void awaitReady(List<Node> nodes, long limitMillis) throws InterruptedException {
        long deadline = now() + limitMillis;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (now() > deadline || !node.alive()) {
                    end(2, node.name + " did not become ready");
                }
                Thread.sleep(50);
            }
        }
    }

    // ---------------------------------------------------------------- the platform's store

    /** The platform's store, as the page of the protocol describes it. */
    static final class Store implements Closeable {
        private final HttpServer server;
        private final Map<String, TreeMap<String, Entry>> kinds = new TreeMap<>();
        private final List<Change> history = new ArrayList<>();
        private long revision = 10;

        private record Entry(long created, long revision, String spec) {
            String json(String name, long shownRevision) {
                return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + shownRevision + ",\"create_rev\":"
                        + created + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
            }
        }

        private record Change(long revision, String kind, String event) {}

        Store(String host, int port) throws IOException {
            server = HttpServer.create(new InetSocketAddress(host, port), 200);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/objects/", this::handle);
            server.start();
        }

        int port() {
            return server.getAddress().getPort();
        }

        synchronized long put(String kind, String name, String spec) {
            TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
            Entry before = objects.get(name);
            if (before != null && before.spec.equals(spec)) {
                return before.revision;
            }
            revision++;
            Entry entry = new Entry(before == null ? revision : before.created, revision, spec);
            objects.put(name, entry);
            changed(kind, "{\"removed\":false,\"object\":" + entry.json(name, revision) + "}");
            return revision;
        }

        synchronized boolean remove(String kind, String name) {
            Entry before = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
            if (before == null) {
                return false;
            }
            revision++;
            changed(kind, "{\"removed\":true,\"object\":" + before.json(name, revision) + "}");
            return true;
        }

        private void changed(String kind, String event) {
            history.add(new Change(revision, kind, event));
            notifyAll();
        }

        private synchronized String list(String kind) {
            List<String> items = new ArrayList<>();
            kinds.computeIfAbsent(kind, key -> new TreeMap<>())
                    .forEach((name, entry) -> items.add(entry.json(name, entry.revision)));
            return "{\"items\":[" + String.join(",", items) + "],\"more\":false,\"current_rev\":" + revision + "}";
        }

        private synchronized String watch(String kind, long after, long waitMillis) throws InterruptedException {
            long until = now() + waitMillis;
            while (true) {
                List<String> events = new ArrayList<>();
                for (Change change : history) {
                    if (change.revision > after && change.kind.equals(kind)) {
                        events.add(change.event);
                    }
                }
                long left = until - now();
                if (!events.isEmpty() || left <= 0) {
                    return "{\"events\":[" + String.join(",", events) + "],\"current_rev\":" + revision + "}";
                }
                wait(left);
            }
        }

        private void handle(HttpExchange exchange) throws IOException {
            try (exchange) {
                String[] path = exchange.getRequestURI().getPath().split("/");
                String kind = path[2];
                String name = path.length > 3 ? path[3] : "";
                String query = String.valueOf(exchange.getRequestURI().getQuery());
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                switch (exchange.getRequestMethod()) {
                    case "GET" -> get(exchange, kind, name, query);
                    case "POST" -> {
                        String created = text(body, "\"name\":\"([^\"]*)\"");
                        if (read(kind, created) != null) {
                            answer(exchange, 409, read(kind, created));
                        } else {
                            put(kind, created, spec(body));
                            answer(exchange, 200, read(kind, created));
                        }
                    }
                    case "PUT" -> {
                        put(kind, name, spec(body));
                        answer(exchange, 200, read(kind, name));
                    }
                    case "DELETE" -> {
                        String removed = read(kind, name);
                        answer(exchange, remove(kind, name) ? 200 : 404, removed == null ? "{}" : removed);
                    }
                    default -> answer(exchange, 400, "{}");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void get(HttpExchange exchange, String kind, String name, String query)
                throws IOException, InterruptedException {
            if (query.contains("watch=")) {
                long after = Long.parseLong(text(query, "watch=(\\d+)"));
                long waitMillis = query.contains("wait_ms=") ? Long.parseLong(text(query, "wait_ms=(\\d+)")) : 0;
                answer(exchange, 200, watch(kind, after, waitMillis));
            } else if (name.isEmpty()) {
                answer(exchange, 200, list(kind));
            } else {
                String found = read(kind, name);
                answer(exchange, found == null ? 404 : 200, found == null ? "{}" : found);
            }
        }

        private synchronized String read(String kind, String name) {
            Entry entry = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
            return entry == null ? null : entry.json(name, entry.revision);
        }

        private static String spec(String body) {
            int from = body.indexOf("\"spec\":") + 7;
            int depth = 0;
            for (int index = from; index < body.length(); index++) {
                char c = body.charAt(index);
                depth += c == '{' ? 1 : c == '}' ? -1 : 0;
                if (depth == 0) {
                    return body.substring(from, index + 1);
                }
            }
            return "{}";
        }

        private static String text(String in, String pattern) {
            Matcher found = Pattern.compile(pattern).matcher(in);
            return found.find() ? found.group(1) : "";
        }

        private static void answer(HttpExchange exchange, int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    /** Returns the content of a worker's entry. */
    static String entry(String service, String address, int slots, String state, long born) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"zone-a\",\"version\":\"v1\","
                + "\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":"
                + born + "}";
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMillis, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":400,\"gap_target_ms\":300,"
                + "\"priority\":1,\"service\":\"" + service + "\"" + more + "}";
    }

    static String manifest(long version, List<String> routes, List<String> services) {
        List<String> named = new ArrayList<>();
        services.forEach(service -> named.add("{\"name\":\"" + service + "\",\"max_connections\":600}"));
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", named) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"studio\","
                + "\"api_keys\":[\"" + KEY + "\"]}]}";
    }

    // ---------------------------------------------------------------- a proxy

    /** Carries connections to one address. Its open connections can go silent for good while new ones work. */
    static final class Link implements Closeable {
        private final ServerSocket server;
        private final String host;
        private final int port;
        private final List<Carried> carried = Collections.synchronizedList(new ArrayList<>());

        private static final class Carried {
            private final Socket from;
            private final Socket to;
            private volatile boolean silent;

            Carried(Socket from, Socket to) {
                this.from = from;
                this.to = to;
            }

            void close() throws IOException {
                from.close();
                to.close();
            }

            void reset() {
                for (Socket socket : List.of(from, to)) {
                    try {
                        socket.setSoLinger(true, 0);
                        socket.close();
                    } catch (IOException e) {
                        // closed already
                    }
                }
            }

            /** Passes an end on, and closes both once both sides have ended. */
            synchronized void ended(Socket out) throws IOException {
                out.shutdownOutput();
                if (from.isOutputShutdown() && to.isOutputShutdown()) {
                    close();
                }
            }
        }

        Link(String listenHost, String host, int port) throws IOException {
            this.server = new ServerSocket(0, 200, InetAddress.getByName(listenHost));
            this.host = host;
            this.port = port;
            daemon(this::accept);
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket from = server.accept();
                    Socket to = new Socket(host, port);
                    from.setTcpNoDelay(true);
                    to.setTcpNoDelay(true);
                    Carried pair = new Carried(from, to);
                    carried.add(pair);
                    daemon(() -> pump(pair, from, to));
                    daemon(() -> pump(pair, to, from));
                } catch (IOException e) {
                    // the script ends
                }
            }
        }

        private static void pump(Carried pair, Socket in, Socket out) {
            byte[] buffer = new byte[65_536];
            try {
                while (true) {
                    int count = in.getInputStream().read(buffer);
                    if (pair.silent) {
                        // nothing more passes, not even the end
                        discard(in);
                        return;
                    }
                    if (count < 0) {
                        pair.ended(out);
                        return;
                    }
                    out.getOutputStream().write(buffer, 0, count);
                }
            } catch (IOException e) {
                if (!pair.silent) {
                    pair.reset();
                }
            }
        }

        private static void discard(Socket in) throws IOException {
            byte[] buffer = new byte[65_536];
            while (in.getInputStream().read(buffer) >= 0) {
                // what is sent is lost
            }
        }

        /** Has all connections that are open now go silent for good. */
        int silence() {
            List<Carried> open = new ArrayList<>(carried);
            open.forEach(pair -> pair.silent = true);
            return open.size();
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Carried pair : new ArrayList<>(carried)) {
                pair.close();
            }
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    // ---------------------------------------------------------------- a worker

    /** A request as a worker has read it. */
    record Arrival(long atMillis, String method, String path, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("x-request-id", "");
        }
    }

    /** Answers one request on its channel; returns false if the channel is then closed. */
    interface Behaviour {
        boolean answer(Arrival arrival, Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    /** A worker of a service. It answers 421 to requests that name another worker. */
    static final class Worker implements Closeable {
        final String id;
        final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger running = new AtomicInteger();
        private final ServerSocket server;
        private final List<Socket> open = Collections.synchronizedList(new ArrayList<>());
        private volatile Behaviour behaviour;

        Worker(String id, String host, Behaviour behaviour) throws IOException {
            this(id, host, 0, behaviour);
        }

        Worker(String id, String host, int port, Behaviour behaviour) throws IOException {
            this.id = id;
            this.behaviour = behaviour;
            this.server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(host, port), 200);
            daemon(this::accept);
        }

        void behaviour(Behaviour value) {
            behaviour = value;
        }

        int port() {
            return server.getLocalPort();
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    // the script ends
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Arrival arrival = readRequest(in);
                    if (arrival == null) {
                        return;
                    }
                    String expected = arrival.headers.getOrDefault("x-expect-instance", id);
                    if (!expected.equals(id)) {
                        out.write(head(421, arrival.id(), "Content-Length: 0\r\n"));
                        out.flush();
                        continue;
                    }
                    arrivals.add(arrival);
                    running.incrementAndGet();
                    try {
                        if (!behaviour.answer(arrival, socket, out)) {
                            return;
                        }
                    } finally {
                        running.decrementAndGet();
                    }
                }
            } catch (IOException e) {
                // the channel has closed
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                open.remove(socket);
            }
        }

        static byte[] head(int status, String id, String more) {
            return ("HTTP/1.1 " + status + " S\r\nX-Request-Id: " + id + "\r\n" + more + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
        }

        /** Returns a behaviour that works for a time and then answers 200. */
        Behaviour sound(long workMillis) {
            return (arrival, socket, out) -> {
                Thread.sleep(workMillis);
                byte[] body = ("done by " + id).getBytes(StandardCharsets.UTF_8);
                out.write(head(
                        200,
                        arrival.id(),
                        "X-Response-Seal: " + id + "." + arrival.id() + "\r\nX-Server-Load: " + running.get()
                                + ",0,16\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length + "\r\n"));
                out.write(body);
                out.flush();
                return true;
            };
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : new ArrayList<>(open)) {
                socket.close();
            }
        }
    }

    // ---------------------------------------------------------------- HTTP

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("within a line");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("within a body");
        }
        return bytes;
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("within a body");
                }
                int length = Integer.parseInt(size.trim(), 16);
                body.write(exactly(in, length));
                line(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    static Arrival readRequest(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = headers(in);
        return new Arrival(now(), words[0], words[1], headers, body(in, headers));
    }

    /** An answer to a client. */
    static final class Answer {
        final int status;
        final Map<String, String> headers;
        final byte[] body;

        Answer(int status, Map<String, String> headers, byte[] body) {
            this.status = status;
            this.headers = headers;
            this.body = body;
        }
    }

    /** One channel of a client. */
    static final class Channel implements Closeable {
        private final Socket socket = new Socket();

        Channel(String host, int port, int timeoutMillis) throws IOException {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
        }

        void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
            socket.getOutputStream().flush();
        }

        Answer receive() throws IOException {
            String first = line(socket.getInputStream());
            if (first == null) {
                throw new EOFException("no answer");
            }
            Map<String, String> headers = headers(socket.getInputStream());
            return new Answer(
                    Integer.parseInt(first.split(" ")[1]), headers, body(socket.getInputStream(), headers));
        }

        Answer call(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            send(method, path, headers, body);
            return receive();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A request of a client and what became of it. */
    static final class Sent {
        final String id;
        final Node node;
        final String path;
        final long sentMillis = now();
        volatile int status;
        volatile String outcome = "no answer";

        Sent(String id, Node node, String path) {
            this.id = id;
            this.node = node;
            this.path = path;
        }
    }

    private final AtomicInteger lastId = new AtomicInteger();

    String newId() {
        return String.format(Locale.ROOT, "%016x", 0x5eed_0000_0000L + lastId.incrementAndGet());
    }

    static Map<String, String> callerHeaders(String id, long deadlineMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", Long.toString(deadlineMillis));
        headers.put("Api-Key", KEY);
        return headers;
    }

    /** Clients that send a request each at an interval, over kept channels, until a time. */
    List<Sent> clients(
            List<Node> nodes, int perNode, String method, String path, long intervalMillis, long untilMillis) {
        List<Sent> all = Collections.synchronizedList(new ArrayList<>());
        for (Node node : nodes) {
            for (int client = 0; client < perNode; client++) {
                long firstMillis = now() + client * intervalMillis / perNode;
                daemon(() -> client(all, node, method, path, intervalMillis, firstMillis, untilMillis));
            }
        }
        return all;
    }

    private void client(
            List<Sent> all, Node node, String method, String path, long intervalMillis, long first, long until) {
        Channel channel = null;
        try {
            for (long next = first; next < until; next = Math.max(next + intervalMillis, now())) {
                sleepUntil(next);
                Sent sent = new Sent(newId(), node, path);
                all.add(sent);
                try {
                    if (channel == null) {
                        channel = new Channel(node.host, node.front, 3_000);
                    }
                    byte[] body = method.equals("POST") ? "pay".getBytes(StandardCharsets.UTF_8) : new byte[0];
                    Answer answer = channel.call(method, path, callerHeaders(sent.id, 1_500), body);
                    sent.status = answer.status;
                    sent.outcome = answer.status + " " + answer.headers.getOrDefault("x-response-seal", "");
                    if (answer.headers.getOrDefault("connection", "").contains("close")) {
                        channel.close();
                        channel = null;
                    }
                } catch (IOException e) {
                    sent.outcome = "closed: " + e.getMessage();
                    if (channel != null) {
                        channel.close();
                        channel = null;
                    }
                }
            }
        } catch (IOException e) {
            note("a client has ended: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
