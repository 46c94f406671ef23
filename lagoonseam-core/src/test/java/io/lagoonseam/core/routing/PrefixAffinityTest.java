package io.lagoonseam.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.testng.annotations.Test;

public final class PrefixAffinityTest {

    private static final String GUIDE = "care for your set and keep oil away from the glue. ".repeat(10);

    private static List<WorkerState> idle(int count) {
        List<WorkerState> workers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            workers.add(new WorkerState("w" + index, 0, 16, 0, 0));
        }
        return workers;
    }

    public static final class Selection {

        private final RoutingRequest request =
                new RoutingRequest(Tier.URGENT, PromptPrefix.of(GUIDE + "question 1"), Set.of());

        @Test
        public void samePrefixIsSentToWorkerThatCachesIt() {
            PrefixIndex index = new PrefixIndex();
            ScoreSelector selector =
                    new ScoreSelector(new Random(1), (worker, prefix) -> index.cachedBlocks(worker, prefix, 0));
            Set<String> chosen = new HashSet<>();
            for (int count = 0; count < 100; count++) {
                String name = selector.select(request, idle(20)).orElseThrow().name();
                index.recordRequest(name, request.prefix(), 0);
                chosen.add(name);
            }
            assertEquals(chosen.size(), 1);
        }

        @Test
        public void loadedWorkerIsNotSelectedDespiteCachedPrefix() {
            ScoreSelector selector = new ScoreSelector(new Random(1), (worker, prefix) -> prefix.blocks());
            String preferred = selector.select(request, idle(20)).orElseThrow().name();
            List<WorkerState> workers = new ArrayList<>(idle(20));
            workers.replaceAll(
                    worker -> worker.name().equals(preferred) ? new WorkerState(preferred, 15, 16, 0, 0) : worker);
            for (int count = 0; count < 100; count++) {
                assertFalse(
                        selector.select(request, workers).orElseThrow().name().equals(preferred));
            }
        }
    }

    public static final class Index {

        private static final PromptPrefix PREFIX = PromptPrefix.of(GUIDE);

        @Test
        public void evictionShortensCachedPrefix() {
            PrefixIndex index = new PrefixIndex();
            index.recordRequest("w", PREFIX, 0);
            assertEquals(index.cachedBlocks("w", PREFIX, 0), PREFIX.blocks());
            index.apply("w", new CacheEvent(1, PREFIX.blockId(2), false), 0);
            assertEquals(index.cachedBlocks("w", PREFIX, 0), 2);
        }

        @Test
        public void lostEventsInvalidateOldEntries() {
            PrefixIndex index = new PrefixIndex();
            index.recordRequest("w", PREFIX, 0);
            index.apply("w", new CacheEvent(1, 7, true), 10_000);
            assertEquals(index.cachedBlocks("w", PREFIX, 10_000), PREFIX.blocks());
            index.apply("w", new CacheEvent(3, 8, true), 10_000);
            assertEquals(index.cachedBlocks("w", PREFIX, 10_000), 0);
            index.recordRequest("w", PREFIX, 10_001);
            assertEquals(index.cachedBlocks("w", PREFIX, 10_001), PREFIX.blocks());
        }

        @Test
        public void unconfirmedEntriesExpire() {
            PrefixIndex index = new PrefixIndex();
            index.recordRequest("w", PREFIX, 0);
            assertEquals(index.cachedBlocks("w", PREFIX, 70_000), 0);
        }

        /** Applies every event in order and twice; the index must then match the worker's cache. */
        @Test
        public void matchesCacheWhenNoEventIsLost() {
            for (long seed = 1; seed <= 10; seed++) {
                Random random = new Random(seed);
                PrefixIndex index = new PrefixIndex();
                Set<Integer> cache = new HashSet<>();
                CacheEvent last = null;
                for (long sequence = 1; sequence <= 500; sequence++) {
                    int block = PREFIX.blockId(random.nextInt(PREFIX.blocks()));
                    boolean stored = random.nextBoolean();
                    last = new CacheEvent(sequence, block, stored);
                    index.apply("w", last, 0);
                    index.apply("w", last, 0);
                    if (stored) {
                        cache.add(block);
                    } else {
                        cache.remove(block);
                    }
                }
                int expected = 0;
                while (expected < PREFIX.blocks() && cache.contains(PREFIX.blockId(expected))) {
                    expected++;
                }
                assertEquals(index.cachedBlocks("w", PREFIX, 0), expected, "seed " + seed);
            }
        }
    }

    public static final class Subset {

        private static List<String> names(int count) {
            List<String> names = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                names.add("w" + index);
            }
            return names;
        }

        @Test
        public void changesLittleWhenWorkersAreAdded() {
            List<String> before = Rendezvous.subset("node-1", names(1_000), Function.identity(), 64);
            List<String> after = Rendezvous.subset("node-1", names(1_050), Function.identity(), 64);
            List<String> kept = new ArrayList<>(before);
            kept.retainAll(after);
            assertEquals(before.size(), 64);
            assertTrue(kept.size() >= 52, "workers of the subset that stayed: " + kept.size());
        }

        @Test
        public void everyWorkerOfLargeFleetIsUsed() {
            Set<String> used = new HashSet<>();
            for (int node = 0; node < 60; node++) {
                used.addAll(Rendezvous.subset("node-" + node, names(200), Function.identity(), 64));
            }
            assertEquals(used.size(), 200);
        }

        @Test
        public void smallFleetIsUsedCompletely() {
            assertEquals(Rendezvous.subset("node-1", names(6), Function.identity(), 64), names(6));
        }
    }
}
