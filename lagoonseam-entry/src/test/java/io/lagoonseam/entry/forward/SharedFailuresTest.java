package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.forward.LeastLoadedChooser;
import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PrefixChooser;
import io.lagoonseam.core.forward.ServiceWorkers;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.ratelimit.PermitSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Simulates eight nodes that share two or three workers for six seconds. In the first test one worker fails almost half
 * of its requests, as in incident inc-2725. Each node sees only two or three of the failures; by sharing outcomes, the
 * nodes must eject the worker early enough that less than a tenth of all requests fail. In the second test failures are
 * spread evenly over all workers and must rarely eject any.
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
     * @param ejectedOthers the number of workers other than w0 that were ejected at the sending node, summed over all
     *     requests
     */
    private record Result(int requests, int failed, int ejectedOthers) {}

    private static ServiceWorkers node(int workers) {
        ServiceWorkers service =
                new ServiceWorkers(new PrefixChooser(), new LeastLoadedChooser(1), PermitSource.UNLIMITED);
        for (int index = 0; index < workers; index++) {
            UpstreamRecord record =
                    new UpstreamRecord("w" + index, 1, "llm", "v1", "10.0.0." + index, 80, "a", 64, false, 1);
            service.workers().put("w" + index, service.newState(record));
        }
        return service;
    }

    private static void exchange(List<ServiceWorkers> nodes, long nowMillis) {
        for (int from = 0; from < nodes.size(); from++) {
            for (int to = 0; to < nodes.size(); to++) {
                if (from == to) {
                    continue;
                }
                ServiceWorkers receiver = nodes.get(to);
                String sender = "node-" + from;
                nodes.get(from).workers().forEach((id, worker) -> {
                    OutcomeCount count = worker.recentOutcomes().count(nowMillis);
                    receiver.workers().get(id).recordPeerOutcomes(sender, count, nowMillis);
                });
            }
        }
        nodes.forEach(queue -> queue.ejectFailing(nowMillis));
    }

    private static Result simulate(boolean shared, int workers, double failShare, double baseFailShare, long seed) {
        Random random = new Random(seed);
        List<ServiceWorkers> nodes =
                IntStream.range(0, NODES).mapToObj(index -> node(workers)).toList();
        int requests = 0;
        int failed = 0;
        int ejectedOthers = 0;
        for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += REQUEST_INTERVAL_MILLIS) {
            if (shared && nowMillis % EXCHANGE_INTERVAL_MILLIS == 0) {
                exchange(nodes, nowMillis);
            }
            ServiceWorkers node = nodes.get(random.nextInt(NODES));
            List<UpstreamState> eligible = new ArrayList<>();
            for (UpstreamState worker : node.workers().values()) {
                if (worker.outlierDetector().acceptsRequests(nowMillis)) {
                    eligible.add(worker);
                }
            }
            List<UpstreamState> from =
                    eligible.isEmpty() ? List.copyOf(node.workers().values()) : eligible;
            UpstreamState worker = from.get(random.nextInt(from.size()));
            worker.outlierDetector().requestSent();
            boolean isW0 = "w0".equals(worker.record().id());
            boolean fails = random.nextDouble() < (isW0 ? Math.max(failShare, baseFailShare) : baseFailShare);
            node.observe(worker, fails ? OutlierDetector.Outcome.FAILED : OutlierDetector.Outcome.ANSWERED, nowMillis);
            requests++;
            failed += fails ? 1 : 0;
            ejectedOthers += (int) node.workers().values().stream()
                    .filter(other -> other.outlierDetector().ejected()
                            && !"w0".equals(other.record().id()))
                    .count();
        }
        return new Result(requests, failed, ejectedOthers);
    }

    @Test
    public void sharedOutcomesEjectWorkerThatFailsRarelyAtEachNode() {
        int withExchange = 0;
        int withoutExchange = 0;
        int requests = 0;
        for (long seed = 1; seed <= 20; seed++) {
            Result result = simulate(true, 2, 0.45, 0, seed);
            withExchange += result.failed();
            requests += result.requests();
            withoutExchange += simulate(false, 2, 0.45, 0, seed).failed();
        }
        // 0.22 of the requests fail if the worker is never ejected
        assertTrue(withExchange < 0.1 * requests, withExchange + " of " + requests + " failed");
        assertTrue(
                withExchange < 0.6 * withoutExchange,
                withExchange + " requests failed with the exchange, " + withoutExchange + " without");
    }

    @Test
    public void failuresSpreadOverAllWorkersHardlyEjectAny() {
        int ejectedOthers = 0;
        // two other workers for each request
        int samples = 0;
        for (long seed = 1; seed <= 20; seed++) {
            Result result = simulate(true, 3, 0, 0.16, seed);
            ejectedOthers += result.ejectedOthers();
            samples += 2 * result.requests();
        }
        assertTrue(ejectedOthers < 0.03 * samples, "ejected in " + ejectedOthers + " of " + samples + " samples");
    }
}
