import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: free addresses, the record, and the nodes as processes of the deploy file. */
final class Bed implements AutoCloseable {

    /** The bounds of the small site file, in the settings of each node. */
    static final long DRAIN_MS = 2_000;

    static final long CONTACT_MS = 3_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startNanos = System.nanoTime();
    final Path root = Path.of("").toAbsolutePath();
    final Path temporary;
    final List<Node> nodes = new ArrayList<>();
    final String network;
    private final PrintWriter record;

    /** One node: its process and its addresses. */
    final class Node {
        final String name;
        final String ip;
        final String zone;
        final int front;
        final int ready;
        final int control;
        final int internal;
        Process process;
        private int starts;

        Node(int number, int[] ports) {
            this.zone = "zone-" + "abc".charAt(number % 3);
            this.name = "front-" + zone + "-" + number;
            this.ip = network + "." + (10 + number);
            this.front = ports[0];
            this.ready = ports[1];
            this.control = ports[2];
            this.internal = ports[3];
        }

        boolean isReady() {
            try {
                HttpURLConnection call =
                        (HttpURLConnection) new URL("http://" + ip + ":" + ready + "/ready").openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(500);
                return call.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    Bed(Path recordFile) throws IOException {
        temporary = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Random random = new Random();
        network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    void note(String text) {
        synchronized (record) {
            record.println(millis() + " " + text);
        }
    }

    /** Notes a line of the result and prints it. */
    void say(String text) {
        note(text);
        System.out.println(text);
    }

    static int freePort(String... hosts) throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = 20_000 + new Random().nextInt(12_000);
            if (isFree(port, hosts)) {
                return port;
            }
        }
        throw new IOException("no free port");
    }

    private static boolean isFree(int port, String... hosts) {
        for (String host : hosts) {
            for (int offset = 0; offset < 2; offset++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.setReuseAddress(true);
                    probe.bind(new InetSocketAddress(InetAddress.getByName(host), port + offset));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Writes the settings of nodes like those of the small site, and starts them. */
    void startNodes(int count, Store store) throws IOException {
        String[] hosts = new String[count];
        for (int index = 0; index < count; index++) {
            hosts[index] = network + "." + (10 + index);
        }
        int[] ports = {freePort(hosts), freePort(hosts), freePort(hosts), freePort(hosts)};
        for (int index = 0; index < count; index++) {
            nodes.add(new Node(index, ports));
        }
        for (Node node : nodes) {
            start(node, store);
        }
    }

    void start(Node node, Store store) throws IOException {
        Path file = temporary.resolve(node.name + ".toml");
        Files.writeString(file, settings(node, store));
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!line.find()) {
            throw new IOException("the deploy file has no line 'run'");
        }
        ProcessBuilder builder = new ProcessBuilder(line.group(1).split(" "));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("LAGOONSEAM_NODE_FILE", file.toString());
        File log = temporary.resolve(node.name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        node.process = builder.start();
        node.starts++;
        note("node " + node.name + " started, time " + node.starts);
    }

    private String settings(Node node, Store store) {
        List<String> seeds = new ArrayList<>();
        for (int index = 0; index < Math.min(3, nodes.size()); index++) {
            seeds.add("\"" + nodes.get(index).ip + ":" + node.control + "\"");
        }
        return String.join(
                "\n",
                "node_name = \"" + node.name + "\"",
                "role = \"entry\"",
                "machine_class = \"front\"",
                "serves = [\"front\",\"control\"]",
                "ip = \"" + node.ip + "\"",
                "zone = \"" + node.zone + "\"",
                "region = \"region\"",
                "internal_ports = [" + node.internal + "," + (node.internal + 1) + "]",
                "seed_nodes = [" + String.join(",", seeds) + "]",
                "bootstrap = " + (node.starts == 0),
                "loss_counts = false",
                "discovery = \"platform\"",
                "entry = \"vip\"",
                "heartbeat_ms = 1200",
                "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
                        + "\"tenants\",\"platform\"]",
                "[zones]",
                "zone-a = \"region\"",
                "zone-b = \"region\"",
                "zone-c = \"region\"",
                "[listen]",
                "front = \"" + node.ip + ":" + node.front + "\"",
                "ready = \"" + node.ip + ":" + node.ready + "\"",
                "control = \"" + node.ip + ":" + node.control + "\"",
                "[limits]",
                "cpu_share = 0.75",
                "cpu_cores = 1",
                "memory_mb = 430",
                "max_fds = 4100",
                "link_mbps = 1000.0",
                "disk_mb = 0",
                "[fault_tolerance]",
                "machines = 2",
                "zones = 0",
                "regions = 0",
                "[bounds]",
                "seed_lag_s = 3",
                "reuse_after_s = 2",
                "contact_ms = " + CONTACT_MS,
                "ack_ms = 4000",
                "catch_up_s = 4",
                "drain_ms = " + DRAIN_MS,
                "grace_s = 8",
                "loss_slack_ms = 200",
                "config_apply_ms = 2000",
                "rollback_slack_ms = 250",
                "max_stretch_ms = 5000",
                "fail_closed = false",
                "revoke_ms = 5000",
                "retry_budget_ratio = 0.2",
                "budget_window_s = 10",
                "retry_budget_slack = 52",
                "recovery_s = 12",
                "pass_ms = 120",
                "reuse_window_s = 8.6",
                "[platform]",
                "address = \"" + store.address() + "\"",
                "form = \"objects\"",
                "writes_per_s = 400",
                "reads_per_s = 2000",
                "history_s = 20",
                "value_bytes = 1048576",
                "ttl_min_ms = 1000",
                "");
    }

    /** Returns what a node has logged. */
    String log(Node node) throws IOException {
        return Files.readString(temporary.resolve(node.name + ".log"), StandardCharsets.ISO_8859_1);
    }

    /** Waits until all nodes are ready; returns false if that takes too long. */
    boolean awaitReady(long withinMillis) throws InterruptedException {
        long untilMillis = millis() + withinMillis;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (millis() > untilMillis) {
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }

    void sleepUntil(long atMillis) throws InterruptedException {
        long left = atMillis - millis();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    /** Ends all processes and removes the temporary files. */
    @Override
    public void close() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        if (System.getenv("KEEP") == null) {
            File[] files = temporary.toFile().listFiles();
            for (File file : files == null ? new File[0] : files) {
                file.delete();
            }
            temporary.toFile().delete();
        }
    }
}
