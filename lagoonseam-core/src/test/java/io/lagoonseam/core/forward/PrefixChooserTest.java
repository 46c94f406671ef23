package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the selection among six workers for streams with shared prompt prefixes. */
public class PrefixChooserTest {

    private static List<UpstreamState> workers(int count) {
        List<UpstreamState> workers = new ArrayList<>();
        FirstEventTimeEstimate service = new FirstEventTimeEstimate();
        PromptSizes sizes = new PromptSizes();
        for (int index = 0; index < count; index++) {
            workers.add(new UpstreamState(
                    new UpstreamRecord("w" + index, 1, "llm", "v1", "10.0.0." + index, 80, "a", 128, false, 1),
                    service,
                    sizes));
        }
        LatencyLanes.assignWorkers(workers);
        return workers;
    }

    private static ChoiceRequest request(String prefix, int shared, int own, Lane lane, long objectiveMillis) {
        PromptSegments prompt = new PromptSegments(
                List.of(new PromptSegments.Segment(prefix, shared), new PromptSegments.Segment("own", own)));
        return new ChoiceRequest(
                prompt.shape(),
                lane,
                objectiveMillis,
                objectiveMillis,
                "a",
                0,
                Set.of(),
                OptionalInt.empty(),
                false,
                false,
                PromptRoom.UNLIMITED,
                0);
    }

    @Test
    public void nodesWithTheSameViewSelectTheSameWorker() {
        List<UpstreamState> one = workers(6);
        List<UpstreamState> other = workers(6);
        java.util.Collections.reverse(other);
        for (int prefix = 0; prefix < 100; prefix++) {
            ChoiceRequest request = request("part" + prefix, 13_000, 3_700, Lane.TOLERANT, 1_000);
            String first = new PrefixChooser()
                    .choose(request, one)
                    .orElseThrow()
                    .worker()
                    .record()
                    .id();
            String second = new PrefixChooser()
                    .choose(request, other)
                    .orElseThrow()
                    .worker()
                    .record()
                    .id();
            assertEquals(first, second);
        }
    }

    @Test
    public void aSharedPrefixIsReadByOneWorker() {
        List<UpstreamState> workers = workers(6);
        Map<String, Set<String>> readers = new HashMap<>();
        Random random = new Random(1);
        for (int index = 0; index < 500; index++) {
            String prefix = "part" + random.nextInt(40);
            String reader = new PrefixChooser()
                    .choose(request(prefix, 13_000, 3_700, Lane.TOLERANT, 1_000), workers)
                    .orElseThrow()
                    .worker()
                    .record()
                    .id();
            readers.computeIfAbsent(prefix, key -> new HashSet<>()).add(reader);
        }
        readers.values().forEach(set -> assertEquals(set.size(), 1));
    }

    /** At low load the longest prompts were refused within the first seconds although the workers were idle. */
    @Test
    public void aPromptThatMissesItsObjectiveEverywhereIsSentToAnIdleWorker() {
        List<UpstreamState> workers = workers(6);
        ChoiceRequest longest = request("long", 38_000, 4_000, Lane.TOLERANT, 1_000);
        UpstreamChooser.Choice choice =
                new PrefixChooser().choose(longest, workers).orElseThrow();
        assertEquals(choice.worker().lane(), Lane.TOLERANT);
        workers.forEach(worker -> worker.started(20_000, 20_000));
        assertTrue(new PrefixChooser().choose(longest, workers).isEmpty());
    }

    /**
     * In large deployments a node is rarely notified of the worker that has cached a prefix; usually it is the home.
     */
    @Test
    public void aSpilledRequestCopiesFromItsHomeIfNoWorkerIsPresumedToHaveThePrefix() {
        List<UpstreamState> workers = workers(6);
        ChoiceRequest request = request("part", 13_000, 3_700, Lane.TOLERANT, 1_000);
        UpstreamState home =
                new PrefixChooser().choose(request, workers).orElseThrow().worker();
        home.started(200_000, 200_000);
        UpstreamChooser.Choice spilled =
                new PrefixChooser().choose(request, workers).orElseThrow();
        assertFalse(spilled.worker().equals(home));
        assertEquals(spilled.copyFrom(), Optional.of(home));
        assertEquals(spilled.unreadTokens(), 16_700);
    }

    @Test
    public void longPromptsUseOtherWorkersThanSensitiveStreams() {
        List<UpstreamState> workers = workers(6);
        Set<String> tolerant = new HashSet<>();
        Set<String> sensitive = new HashSet<>();
        for (int index = 0; index < 200; index++) {
            tolerant.add(id(request("p" + index, 13_000, 3_700, Lane.TOLERANT, 1_000), workers));
            sensitive.add(id(request("p" + index, 350, 1_100, Lane.SENSITIVE, 250), workers));
        }
        assertEquals(sensitive.size(), 2);
        assertEquals(tolerant.size(), 4);
        tolerant.retainAll(sensitive);
        assertTrue(tolerant.isEmpty());
    }

    private static String id(ChoiceRequest request, List<UpstreamState> workers) {
        return new PrefixChooser()
                .choose(request, workers)
                .orElseThrow()
                .worker()
                .record()
                .id();
    }

    @Test
    public void aSpilledRequestCopiesTheCachedPrefix() {
        List<UpstreamState> workers = workers(6);
        ChoiceRequest request = request("part", 13_000, 3_700, Lane.TOLERANT, 1_000);
        UpstreamState home =
                new PrefixChooser().choose(request, workers).orElseThrow().worker();
        home.cachedSegments().recordRead(request.prompt().prefixHash(), 0);
        home.started(200_000, 200_000);
        UpstreamChooser.Choice spilled =
                new PrefixChooser().choose(request, workers).orElseThrow();
        assertFalse(spilled.worker().equals(home));
        assertEquals(spilled.copyFrom(), Optional.of(home));
        assertEquals(spilled.worker().lane(), Lane.TOLERANT);
    }

    @Test
    public void aPromptWithoutACachedPrefixIsReadWhole() {
        List<UpstreamState> workers = workers(6);
        ChoiceRequest request = request("part", 13_000, 3_700, Lane.TOLERANT, 1_000);
        UpstreamChooser.Choice cold =
                new PrefixChooser().choose(request, workers).orElseThrow();
        assertEquals(cold.unreadTokens(), 16_700);
        cold.worker().cachedSegments().recordUse(request.prompt().prefixHash(), 0);
        UpstreamChooser.Choice warm =
                new PrefixChooser().choose(request, workers).orElseThrow();
        assertEquals(warm.worker(), cold.worker());
        assertEquals(warm.unreadTokens(), 3_700);
    }

    @Test
    public void aNewHomeCopiesFromTheFormerHome() {
        List<UpstreamState> workers = workers(6);
        ChoiceRequest request = request("part", 13_000, 3_700, Lane.TOLERANT, 1_000);
        UpstreamState home =
                new PrefixChooser().choose(request, workers).orElseThrow().worker();
        UpstreamState former = workers.stream()
                .filter(worker -> !worker.equals(home))
                .findFirst()
                .orElseThrow();
        former.cachedSegments().recordRead(request.prompt().prefixHash(), 0);
        UpstreamChooser.Choice choice =
                new PrefixChooser().choose(request, workers).orElseThrow();
        assertEquals(choice.worker(), home);
        assertEquals(choice.copyFrom(), Optional.of(former));
        assertEquals(choice.unreadTokens(), 3_700);
    }

    @Test
    public void aRestartedNodePresumesThatPrefixesAreCached() {
        // after a restart of all nodes, requests were sent to workers other than their homes, which had to read all
        // prefixes again
        List<UpstreamState> workers = workers(6);
        workers.forEach(worker -> worker.cachedSegments().presumeAllCached(10_000));
        ChoiceRequest request = request("part", 60_000, 3_700, Lane.TOLERANT, 1_000);
        UpstreamState home =
                new PrefixChooser().choose(request, workers).orElseThrow().worker();
        home.started(10_000, 10_000);
        UpstreamChooser.Choice choice =
                new PrefixChooser().choose(request, workers).orElseThrow();
        assertEquals(choice.worker(), home);
        assertEquals(choice.unreadTokens(), 3_700);
    }

    @Test
    public void aRequestThatMissesItsObjectiveEverywhereWaits() {
        List<UpstreamState> workers = workers(6);
        workers.forEach(worker -> worker.started(200_000, 200_000));
        ChoiceRequest request = request("part", 13_000, 3_700, Lane.TOLERANT, 1_000);
        assertTrue(new PrefixChooser().choose(request, workers).isEmpty());
    }

    @Test
    public void aSensitiveRequestMayUseEveryLane() {
        List<UpstreamState> workers = workers(6);
        workers.stream()
                .filter(worker -> worker.lane() == Lane.SENSITIVE)
                .forEach(worker -> worker.started(200_000, 200_000));
        ChoiceRequest request = request("part", 350, 1_100, Lane.SENSITIVE, 250);
        assertEquals(
                new PrefixChooser()
                        .choose(request, workers)
                        .orElseThrow()
                        .worker()
                        .lane(),
                Lane.TOLERANT);
    }

    @Test
    public void readsFewerTokensThanRoundRobin() {
        // round robin approximates selecting the worker with the fewest requests regardless of its cached prefixes
        List<UpstreamState> workers = workers(6);
        Random random = new Random(2);
        long roundRobinTokens = 0;
        long prefixTokens = 0;
        Map<String, Set<String>> roundRobinCache = new HashMap<>();
        Map<String, Set<String>> prefixCache = new HashMap<>();
        for (int index = 0; index < 2_000; index++) {
            String prefix = "part" + random.nextInt(160);
            ChoiceRequest request = request(prefix, 13_000, 3_700, Lane.TOLERANT, 1_000);
            String roundRobin = "w" + index % 6;
            roundRobinTokens += roundRobinCache
                            .computeIfAbsent(roundRobin, key -> new HashSet<>())
                            .add(prefix)
                    ? 16_700
                    : 3_700;
            String chosen = id(request, workers);
            prefixTokens +=
                    prefixCache.computeIfAbsent(chosen, key -> new HashSet<>()).add(prefix) ? 16_700 : 3_700;
        }
        assertTrue(
                prefixTokens < 0.6 * roundRobinTokens, prefixTokens + " tokens read, round robin " + roundRobinTokens);
    }
}
