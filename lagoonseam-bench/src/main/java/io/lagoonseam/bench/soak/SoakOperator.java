package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.ConfigurationChange;
import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.store.StoreStandIn;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Writes one configuration after the other, each with a route that only it has. */
final class SoakOperator implements Runnable {

    private static final int FIRST_VERSION = 4;
    private static final int VERSION_STEP = 3;
    private static final int MIN_GAP_MILLIS = 1_000;
    private static final int MAX_MORE_MILLIS = 7_000;

    private final StoreStandIn store;
    private final String key;
    private final SoakLog log;
    private final Random random;
    private final BooleanSupplier running;

    SoakOperator(StoreStandIn store, String key, SoakLog log, long seed, BooleanSupplier running) {
        this.store = store;
        this.key = key;
        this.log = log;
        this.random = new Random(seed);
        this.running = running;
    }

    static String path(int number) {
        return "/v-" + number + "/";
    }

    @Override
    public void run() {
        try {
            for (int number = 1; running.getAsBoolean(); number++) {
                write(number);
                log.add(new ConfigurationChange(number, SoakLog.nowMillis()));
                TimeUnit.MILLISECONDS.sleep(MIN_GAP_MILLIS + random.nextInt(MAX_MORE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(int number) throws InterruptedException {
        List<JsonObject> routes = new ArrayList<>(PlatformFixtures.routes(NodeProcess.HOST));
        routes.add(PlatformFixtures.route(NodeProcess.HOST, "v" + number, path(number), "safe", "app", 1_500));
        JsonObject configuration =
                PlatformFixtures.configuration(FIRST_VERSION + (long) number * VERSION_STEP, routes, key);
        CountDownLatch written = new CountDownLatch(1);
        store.runOnEventLoop(() -> {
            store.put("config", "main", configuration);
            written.countDown();
        });
        written.await();
    }
}
