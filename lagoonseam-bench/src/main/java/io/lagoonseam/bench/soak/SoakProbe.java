package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.ConfigurationChange;
import io.lagoonseam.bench.soak.SoakLog.Probe;
import io.lagoonseam.standin.operator.PlatformFixtures;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Asks one node again and again for the routes of the latest configurations. */
final class SoakProbe implements Runnable {

    private static final int ASKED_CONFIGURATIONS = 3;
    private static final int PAUSE_MILLIS = 60;
    private static final int NOT_FOUND = 404;
    private static final int OK = 200;

    private final int node;
    private final int port;
    private final String key;
    private final SoakLog log;
    private final Random random;
    private final BooleanSupplier running;

    SoakProbe(int node, int port, String key, SoakLog log, long seed, BooleanSupplier running) {
        this.node = node;
        this.port = port;
        this.key = key;
        this.log = log;
        this.random = new Random(seed);
        this.running = running;
    }

    @Override
    public void run() {
        try (KeptConnection connection = new KeptConnection(NodeProcess.HOST, port)) {
            for (int number = 0; running.getAsBoolean(); number++) {
                List<ConfigurationChange> changes = log.configurationChanges();
                if (!changes.isEmpty() && connection.connect()) {
                    int back = random.nextInt(Math.min(ASKED_CONFIGURATIONS, changes.size()));
                    probe(connection, changes.get(changes.size() - 1 - back).number(), number);
                }
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void probe(KeptConnection connection, int configuration, int number) {
        long sentMillis = SoakLog.nowMillis();
        connection
                .send(
                        "POST " + SoakOperator.path(configuration) + "x",
                        PlatformFixtures.callerHeaders(key, "p" + node + "-" + number))
                .filter(answer -> answer.status() == OK || answer.status() == NOT_FOUND)
                .ifPresent(answer -> log.add(
                        new Probe(node, configuration, sentMillis, SoakLog.nowMillis(), answer.status() == OK)));
    }
}
