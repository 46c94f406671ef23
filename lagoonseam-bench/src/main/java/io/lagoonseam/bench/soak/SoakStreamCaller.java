package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.StreamTry;
import io.lagoonseam.standin.operator.PlatformFixtures;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Begins one stream after the other at any node, and takes up at another node what broke off. */
final class SoakStreamCaller implements Runnable {

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: [^\n]*\n\n");
    private static final int MAX_TRIES = 5;
    private static final int OUTPUT_TOKENS = 40;
    private static final int MAX_PAUSE_MILLIS = 80;

    private final String name;
    private final List<Integer> callerPorts;
    private final String key;
    private final SoakLog log;
    private final Random random;
    private final BooleanSupplier running;

    SoakStreamCaller(
            String name, List<Integer> callerPorts, String key, SoakLog log, long seed, BooleanSupplier running) {
        this.name = name;
        this.callerPorts = List.copyOf(callerPorts);
        this.key = key;
        this.log = log;
        this.random = new Random(seed);
        this.running = running;
    }

    @Override
    public void run() {
        try {
            for (int number = 0; running.getAsBoolean(); number++) {
                readStream(name + "-" + number);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readStream(String stream) throws InterruptedException {
        String beganAs = "";
        int lastEvent = 0;
        for (int number = 0; number < MAX_TRIES && lastEvent < SoakCaller.EVENTS; number++) {
            String id = stream + "-" + number;
            int read = readRest(stream, id, beganAs, lastEvent);
            if (read > lastEvent && beganAs.isEmpty()) {
                beganAs = id;
            }
            lastEvent = read;
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        }
    }

    /** Returns the number of the last event that the caller has after the attempt. */
    private int readRest(String stream, String id, String beganAs, int lastEvent) {
        Map<String, String> headers = new HashMap<>(PlatformFixtures.callerHeaders(key, id));
        headers.putAll(PlatformFixtures.promptHeaders("a" + random.nextInt(8), "b" + stream, OUTPUT_TOKENS));
        if (lastEvent > 0) {
            headers.putAll(PlatformFixtures.resumeHeaders(beganAs, Integer.toString(lastEvent)));
        }
        int node = random.nextInt(callerPorts.size());
        long sentMillis = SoakLog.nowMillis();
        try (KeptConnection connection = new KeptConnection(NodeProcess.HOST, callerPorts.get(node))) {
            if (!connection.connect()) {
                return lastEvent;
            }
            Optional<KeptConnection.Answer> answer = connection.send("POST /talk/x", headers);
            String body = connection.receivedBody();
            int status = answer.map(KeptConnection.Answer::status).orElse(0);
            log.add(new StreamTry(stream, id, node, lastEvent, sentMillis, status, body));
            return Math.max(lastEvent, lastEvent(body));
        }
    }

    static int lastEvent(String body) {
        int last = 0;
        for (Matcher matcher = EVENT.matcher(body); matcher.find(); ) {
            last = Integer.parseInt(matcher.group(1));
        }
        return last;
    }
}
