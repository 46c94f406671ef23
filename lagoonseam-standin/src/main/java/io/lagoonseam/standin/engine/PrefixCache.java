package io.lagoonseam.standin.engine;

import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;

/**
 * Simulates a prefix cache of limited capacity, which evicts the least recently used block first. Its events can become
 * visible with a delay and can be missing.
 */
final class PrefixCache {

    static final int BLOCK_CHARS = 64;

    private static final int MAX_EVENTS = 2_000;

    private final LinkedHashSet<Integer> blocks = new LinkedHashSet<>();
    private final Deque<JsonObject> events = new ArrayDeque<>();
    private final int capacityBlocks;
    private final Random random;
    private long sequence;
    private long lagMillis;
    private double gapShare;

    PrefixCache(int capacityBlocks, Random random) {
        this.capacityBlocks = capacityBlocks;
        this.random = random;
    }

    void setFaults(long newLagMillis, double newGapShare) {
        lagMillis = newLagMillis;
        gapShare = newGapShare;
    }

    /** Returns the number of leading blocks of the prompt that were cached, and stores all its blocks. */
    int lookUpAndStore(String prompt, long nowMillis) {
        int hits = 0;
        boolean hitting = true;
        for (int block : blocksOf(prompt)) {
            hitting = hitting && blocks.contains(block);
            if (hitting) {
                hits++;
            }
            store(block, nowMillis);
        }
        return hits;
    }

    static List<Integer> blocksOf(String prompt) {
        List<Integer> hashes = new ArrayList<>();
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            hashes.add(prompt.substring(0, end).hashCode());
        }
        return hashes;
    }

    private void store(int block, long nowMillis) {
        if (!blocks.remove(block)) {
            publish("stored", block, nowMillis);
        }
        blocks.add(block);
        if (blocks.size() > capacityBlocks) {
            Iterator<Integer> oldest = blocks.iterator();
            int evicted = oldest.next();
            oldest.remove();
            publish("evicted", evicted, nowMillis);
        }
    }

    private void publish(String kind, int block, long nowMillis) {
        sequence++;
        if (random.nextDouble() < gapShare) {
            return;
        }
        events.addLast(new JsonObject()
                .put("sequence", sequence)
                .put("kind", kind)
                .put("block", block)
                .put("visibleAtMillis", nowMillis + lagMillis));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    List<JsonObject> eventsAfter(long after, long nowMillis) {
        return events.stream()
                .filter(event -> event.getLong("sequence") > after && event.getLong("visibleAtMillis") <= nowMillis)
                .toList();
    }

    void clear() {
        blocks.clear();
    }
}
