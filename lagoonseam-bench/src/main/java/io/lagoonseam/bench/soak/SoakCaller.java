package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.Call;
import io.lagoonseam.bench.soak.SoakLog.Outcome;
import io.lagoonseam.standin.operator.PlatformFixtures;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;

/** Calls one node without end on a connection that it keeps until the node ends it or is gone. */
final class SoakCaller implements Runnable {

    /** The number of events of each stream. */
    static final int EVENTS = 10;

    private static final int OUTPUT_TOKENS = 40;
    private static final int MAX_PAUSE_MILLIS = 60;
    private static final long RECONNECT_MILLIS = 25;

    private final String name;
    private final int node;
    private final String host;
    private final int port;
    private final String key;
    private final SoakLog log;
    private final Random random;
    private final BooleanSupplier running;

    SoakCaller(
            String name, int node, String host, int port, String key, SoakLog log, long seed, BooleanSupplier running) {
        this.name = name;
        this.node = node;
        this.host = host;
        this.port = port;
        this.key = key;
        this.log = log;
        this.random = new Random(seed);
        this.running = running;
    }

    @Override
    public void run() {
        try (KeptConnection connection = new KeptConnection(host, port)) {
            for (int number = 0; running.getAsBoolean(); number++) {
                if (connection.connect()) {
                    call(connection, name + "-" + number);
                    Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
                } else {
                    Thread.sleep(RECONNECT_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(KeptConnection connection, String id) {
        String kind =
                switch (random.nextInt(3)) {
                    case 0 -> "talk";
                    case 1 -> "pay";
                    default -> "read";
                };
        Map<String, String> headers = new HashMap<>(PlatformFixtures.callerHeaders(key, id));
        if ("talk".equals(kind)) {
            headers.putAll(PlatformFixtures.promptHeaders("a" + random.nextInt(8), "b" + id, OUTPUT_TOKENS));
        }
        boolean fresh = connection.fresh();
        long sentMillis = SoakLog.nowMillis();
        Optional<KeptConnection.Answer> answer = connection.send("POST /" + kind + "/x", headers);
        Outcome lost = fresh ? Outcome.CUT_FRESH : Outcome.CUT;
        log.add(new Call(
                id,
                kind,
                node,
                sentMillis,
                SoakLog.nowMillis(),
                answer.isPresent() ? Outcome.ANSWERED : lost,
                answer.map(KeptConnection.Answer::status).orElse(0),
                answer.map(KeptConnection.Answer::head)
                        .map(PlatformFixtures::limitedBy)
                        .orElse(""),
                answer.map(KeptConnection.Answer::body).orElse("")));
    }
}
