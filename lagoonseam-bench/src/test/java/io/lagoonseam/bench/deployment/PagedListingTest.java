package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.core.time.Timers;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.store.CollectionFollower;
import io.lagoonseam.entry.store.CollectionObject;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.WatchPolicy;
import io.lagoonseam.platform.HttpCollectionStore;
import io.lagoonseam.standin.store.StoreStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests followers of a collection whose listing has several pages, which changes while they read them. */
public class PagedListingTest {

    private static final String HOST = "127.0.0.1";
    private static final String KIND = "servers";
    private static final int OBJECTS = 60;
    private static final int PAGE_SIZE = 20;
    private static final long LIST_DELAY_MILLIS = 4;
    private static final int CUTS = 10;
    private static final long BETWEEN_CUTS_MILLIS = 150;

    private Vertx vertx;
    private StoreStandIn stored;

    /** What one follower knows of the collection: the number that each object holds, by name. */
    private static final class Copy implements CollectionFollower.Listener {

        private final Map<String, Integer> numbers = new ConcurrentHashMap<>();

        @Override
        public void listed(List<CollectionObject> objects, long revision) {
            numbers.clear();
            objects.forEach(this::apply);
        }

        @Override
        public void changed(List<CollectionObject> objects, long revision) {
            objects.forEach(this::apply);
        }

        private void apply(CollectionObject object) {
            if (object.removed()) {
                numbers.remove(object.name());
            } else {
                numbers.put(object.name(), object.content().path("slots").asInt());
            }
        }

        @Override
        public void failed(String reason) {
            // watches are cut off
        }

        @Override
        public void succeeded() {
            // the copy tells more
        }
    }

    @BeforeMethod
    public void start() throws Exception {
        vertx = Vertx.vertx();
        stored = new StoreStandIn(HOST, 0);
        vertx.deployVerticle(stored).await(10, TimeUnit.SECONDS);
        stored.setFaults(new JsonObject().put("pageSize", PAGE_SIZE).put("listDelayMillis", LIST_DELAY_MILLIS));
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    private void inStore(Runnable change) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        stored.runOnEventLoop(() -> {
            change.run();
            done.countDown();
        });
        done.await();
    }

    private Copy follow(int nodes, Random random) {
        Copy copy = new Copy();
        CollectionStore store =
                new HttpCollectionStore(vertx, () -> new ListenAddress(HOST, stored.port()), DecisionLog.NOOP);
        Timers timers = (delayMillis, action) -> vertx.setTimer(delayMillis, timer -> action.run());
        CollectionFollower follower = new CollectionFollower(
                new SystemTimeSource(),
                timers,
                store,
                CollectionStore.UPSTREAMS,
                copy,
                random,
                new CollectionFollower.Options(
                        () -> WatchPolicy.longPollTimeoutMillis(nodes, random),
                        () -> WatchPolicy.gatherMillis(nodes),
                        true));
        vertx.getOrCreateContext().runOnContext(nothing -> follower.start());
        return copy;
    }

    @DataProvider
    public Object[] nodeCounts() {
        return new Object[] {1, 8, 95};
    }

    /**
     * Guards against a change of an earlier page that is lost, since the watch after a listing begins at the revision
     * of its last page (review, case 10).
     */
    @Test(dataProvider = "nodeCounts")
    public void everyFollowerLearnsOfChangesBetweenThePagesOfAListing(int nodes) throws Exception {
        Random random = new Random(nodes);
        Map<String, Integer> expected = new TreeMap<>();
        for (int object = 0; object < OBJECTS; object++) {
            write(expected, object, 0);
        }
        List<Copy> copies = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            copies.add(follow(nodes, new Random(random.nextLong())));
        }
        for (int cut = 1; cut <= CUTS; cut++) {
            stored.setFaults(new JsonObject().put("cutWatches", true));
            long endMillis = System.currentTimeMillis() + BETWEEN_CUTS_MILLIS;
            while (System.currentTimeMillis() < endMillis) {
                write(expected, random.nextInt(OBJECTS), cut);
                remove(expected, random.nextInt(OBJECTS));
                Thread.sleep(1 + random.nextInt(10));
            }
        }
        LocalDeployment.awaitThat(
                "each follower knows the collection",
                () -> copies.stream().allMatch(copy -> copy.numbers.equals(expected)));
        for (Copy copy : copies) {
            assertEquals(new TreeMap<>(copy.numbers), expected);
        }
    }

    private void write(Map<String, Integer> expected, int object, int number) throws InterruptedException {
        String name = String.format("w%03d", object);
        expected.put(name, number);
        inStore(() -> stored.put(KIND, name, new JsonObject().put("slots", number)));
    }

    private void remove(Map<String, Integer> expected, int object) throws InterruptedException {
        String name = String.format("w%03d", object);
        if (expected.remove(name) != null) {
            inStore(() -> stored.remove(KIND, name));
        }
    }
}
