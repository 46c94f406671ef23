package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.CrashTry;
import io.lagoonseam.standin.operator.PlatformFixtures;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Sends requests that crash engines to any node: ones with a part in common, or one that comes again. */
final class SoakCrashCaller implements Runnable {

    /** The part of prompts, and the text in paths, that crash engines. */
    static final String CRASH_PART = "badpart";

    static final String CRASH_TEXT = "badrequest";

    private static final int OUTPUT_TOKENS = 8;
    private static final int MEAN_PAUSE_MILLIS = 400;

    private final CrashKind kind;
    private final List<Integer> callerPorts;
    private final String key;
    private final SoakLog log;
    private final Random random;
    private final BooleanSupplier running;

    /** What the requests have in common. */
    enum CrashKind {
        /** A part of their prompts. */
        PART(5),
        /** They are equal but for their ids. */
        REQUEST(3);

        private final int crashesToTell;

        CrashKind(int crashesToTell) {
            this.crashesToTell = crashesToTell;
        }

        /** Returns the number of crashes after which all nodes have to know what crashes engines. */
        int crashesToTell() {
            return crashesToTell;
        }

        /** Returns how the ids of the requests begin. */
        String idPrefix() {
            return "crash" + name() + "-";
        }
    }

    SoakCrashCaller(
            CrashKind kind, List<Integer> callerPorts, String key, SoakLog log, long seed, BooleanSupplier running) {
        this.kind = kind;
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
                TimeUnit.MILLISECONDS.sleep(MEAN_PAUSE_MILLIS / 2 + random.nextInt(MEAN_PAUSE_MILLIS));
                send(kind.idPrefix() + number, number);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(String id, int number) {
        int node = random.nextInt(callerPorts.size());
        String shared = "a" + random.nextInt(8);
        String prompt =
                kind == CrashKind.PART ? shared + ":100," + CRASH_PART + ":50,own" + number + ":100" : "a1:100,own:50";
        String path = kind == CrashKind.PART ? "x" + number : CRASH_TEXT;
        Map<String, String> headers = new HashMap<>(PlatformFixtures.callerHeaders(key, id));
        headers.putAll(PlatformFixtures.partHeaders(prompt, OUTPUT_TOKENS));
        long sentMillis = SoakLog.nowMillis();
        try (KeptConnection connection = new KeptConnection(NodeProcess.HOST, callerPorts.get(node))) {
            if (connection.connect()) {
                log.add(new CrashTry(kind, id, node, sentMillis));
                connection.send("POST /chat/" + path, headers);
            }
        }
    }
}
