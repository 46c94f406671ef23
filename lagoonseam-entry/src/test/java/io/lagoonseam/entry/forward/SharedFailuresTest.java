package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.forward.LeastLoadedChooser;
import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.PrefixChooser;
import io.lagoonseam.core.forward.RepeatBudget;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.UpstreamTrust;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Simulates eight nodes with few workers, one of which breaks off almost half of its requests for six seconds (incident
 * inc-2725). Each node sees only two or three of the failures; sharing outcomes, the nodes must eject the worker soon.
 * Failures that are spread over all workers must hardly eject any.
 */
public class SharedFailuresTest {

    private static final int NODES = 8;
    private static final long DURATION_MILLIS = 6_000;
    private static final long REQUEST_INTERVAL_MILLIS = 40;
    private static final long EXCHANGE_INTERVAL_MILLIS = 500;

    /**
     * The counts of one simulation.
     *
     * @param requests the number of requests sent
     * @param failed the number of requests that failed
     * @param ejectedHealthy the sum over all requests of the healthy workers ejected at the node that sent it
     */
    private record Result(int requests, int failed, int ejectedHealthy) {}

    private static ServiceQueue node(int workers) {
        ServiceQueue queue =
                new ServiceQueue(new PrefixChooser(), new LeastLoadedChooser(1), new RepeatBudget(0.2, 10_000, 50));
        for (int index = 0; index < workers; index++) {
            UpstreamRecord record = new UpstreamRecord("w" + index, 1, "llm", "10.0.0." + index, 80, "a", 64, false, 1);
            queue.workers().put("w" + index, queue.newState(record));
        }
        return queue;
    }

    private static void exchange(List<ServiceQueue> nodes, long nowMillis) {
        for (int from = 0; from < nodes.size(); from++) {
            for (int to = 0; to < nodes.size(); to++) {
                if (from == to) {
                    continue;
                }
                ServiceQueue receiver = nodes.get(to);
                String sender = "node-" + from;
                nodes.get(from).workers().forEach((id, worker) -> {
                    OutcomeCount count = worker.recentOutcomes().count(nowMillis);
                    receiver.workers().get(id).peerOutcomes(sender, count, nowMillis);
                });
            }
        }
        nodes.forEach(queue -> queue.ejectFailing(nowMillis));
    }

    private static Result simulate(boolean shared, int workers, double failShare, double baseFailShare, long seed) {
        Random random = new Random(seed);
        List<ServiceQueue> nodes =
                IntStream.range(0, NODES).mapToObj(index -> node(workers)).toList();
        int requests = 0;
        int failed = 0;
        int ejected = 0;
        for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += REQUEST_INTERVAL_MILLIS) {
            if (shared && nowMillis % EXCHANGE_INTERVAL_MILLIS == 0) {
                exchange(nodes, nowMillis);
            }
            ServiceQueue node = nodes.get(random.nextInt(NODES));
            List<UpstreamState> eligible = new ArrayList<>();
            for (UpstreamState worker : node.workers().values()) {
                if (worker.trust().trusted(nowMillis)) {
                    eligible.add(worker);
                }
            }
            List<UpstreamState> from =
                    eligible.isEmpty() ? List.copyOf(node.workers().values()) : eligible;
            UpstreamState worker = from.get(random.nextInt(from.size()));
            worker.trust().sent();
            boolean failing = "w0".equals(worker.record().id());
            boolean fails = random.nextDouble() < (failing ? Math.max(failShare, baseFailShare) : baseFailShare);
            node.observe(worker, fails ? UpstreamTrust.Outcome.FAILED : UpstreamTrust.Outcome.ANSWERED, nowMillis);
            requests++;
            failed += fails ? 1 : 0;
            ejected += (int) node.workers().values().stream()
                    .filter(other ->
                            other.trust().aside() && !"w0".equals(other.record().id()))
                    .count();
        }
        return new Result(requests, failed, ejected);
    }

    @Test
    public void sharedOutcomesEjectWorkerThatFailsRarelyAtEachNode() {
        int shared = 0;
        int alone = 0;
        int requests = 0;
        for (long seed = 1; seed <= 20; seed++) {
            Result result = simulate(true, 2, 0.45, 0, seed);
            shared += result.failed();
            requests += result.requests();
            alone += simulate(false, 2, 0.45, 0, seed).failed();
        }
        // 0.22 of the requests fail if the worker is never ejected
        assertTrue(shared < 0.1 * requests, shared + " of " + requests + " failed");
        assertTrue(shared < 0.6 * alone, shared + " failed, without the exchange " + alone);
    }

    @Test
    public void failuresSpreadOverAllWorkersHardlyEjectAny() {
        int ejected = 0;
        int checks = 0;
        for (long seed = 1; seed <= 20; seed++) {
            Result result = simulate(true, 3, 0, 0.16, seed);
            ejected += result.ejectedHealthy();
            checks += 2 * result.requests();
        }
        assertTrue(ejected < 0.03 * checks, "ejected in " + ejected + " of " + checks + " checks");
    }
}
