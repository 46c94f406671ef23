package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.fleet.FreePorts;
import io.lagoonseam.standin.operator.PlatformFixtures;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One node as a process of its own, which is started, stopped and suspended from outside. Not thread-safe. */
public final class NodeProcess implements AutoCloseable {

    /** The address on which nodes listen for callers. */
    public static final String HOST = "127.0.0.1";

    /** The time that a node has for a planned stop unless another is given, in seconds. */
    static final long STOP_SECONDS = 8;

    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final int OK = 200;

    private final Path folder;
    private final String name;
    private final PlatformFixtures.Addresses addresses;
    private final long stopSeconds;
    private Process process;

    /**
     * Writes the settings of a node that is not started.
     *
     * @param folder the folder for the settings and the log
     * @param index the index of the node, which determines its name and its address for other nodes
     * @param peerPort the port for other nodes; the next one is used too
     * @param storePort the port of the store on {@link #HOST}
     * @param stopSeconds the time that the node has for a planned stop, in seconds
     * @throws IOException if the settings cannot be written
     */
    public NodeProcess(Path folder, int index, int peerPort, int storePort, long stopSeconds) throws IOException {
        this.folder = folder;
        this.name = "node-" + index;
        this.addresses = new PlatformFixtures.Addresses(
                HOST, "127.0.0." + (index + 1), FreePorts.find(), FreePorts.find(), peerPort, storePort);
        Files.writeString(settingsFile(), PlatformFixtures.settings(name, addresses, stopSeconds, List.of(HOST)));
        this.stopSeconds = stopSeconds;
    }

    private Path settingsFile() {
        return folder.resolve(name + ".toml");
    }

    /**
     * Returns the port for callers.
     *
     * @return the port on {@link #HOST}
     */
    public int callerPort() {
        return addresses.callerPort();
    }

    /**
     * Starts the node.
     *
     * @throws IOException if the process cannot be started
     */
    public void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+ExitOnOutOfMemoryError",
                "-Djava.net.preferIPv4Stack=true",
                "-cp",
                System.getProperty("java.class.path"),
                "io.lagoonseam.cli.Main",
                "node");
        builder.environment()
                .put(PlatformFixtures.SETTINGS_FILE_VARIABLE, settingsFile().toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        process = builder.start();
        // an interrupted soak leaves no nodes behind
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /**
     * Waits until the node says that it is ready.
     *
     * @throws IOException if that takes longer than 20 seconds
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void awaitReady() throws IOException, InterruptedException {
        long endMillis = SoakLog.nowMillis() + READY_TIMEOUT_MILLIS;
        while (!ready()) {
            if (SoakLog.nowMillis() > endMillis || !process.isAlive()) {
                throw new IOException(name + " is not ready; see " + folder.resolve(name + ".log"));
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /**
     * Returns whether the process runs.
     *
     * @return false before the start and after its end
     */
    public boolean running() {
        return process != null && process.isAlive();
    }

    /**
     * Returns whether the node says that it is ready.
     *
     * @return false also if it does not answer
     */
    public boolean ready() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://" + HOST + ":" + addresses.readyPort() + "/ready")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == OK;
        } catch (IOException e) {
            // the node does not listen yet
            return false;
        }
    }

    /**
     * Requests a planned stop and waits until the process has ended; kills it after the stop time of its settings.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(stopSeconds, TimeUnit.SECONDS)) {
            kill();
        }
    }

    /**
     * Kills the process.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends a signal, by its name without SIG. */
    void signal(String signalName) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null && process.isAlive()) {
            kill();
        }
    }
}
