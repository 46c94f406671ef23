package io.lagoonseam.bench.experiment.decision;

import io.lagoonseam.bench.experiment.policy.ComparedPolicy;
import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.routing.PromptPrefix;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.WorkerTable;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.core.time.TimeSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures one admission and routing decision under a backlog in every class, in nanoseconds. Each operation offers a
 * request, polls one and assigns it a worker, and finishes the oldest running one.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionCostBenchmark {

    private static final int BACKLOG_REQUESTS = 500;
    private static final int WORKSPACES = 40;
    private static final int CONCURRENCY = 16;
    private static final int PROMPTS = 64;
    private static final int PROMPT_CHARS = 600;
    private static final long DEADLINE_MILLIS = 3_600_000;
    private static final int ANSWER_TOKENS = 38;
    private static final long SEED = 5;

    /** The name of the compared policy. */
    @Param({ComparedPolicy.CHOSEN, "round robin + FIFO"})
    public String policy;

    /** The number of workers in the table; 0 measures admission alone. A node of a large fleet uses 64 workers. */
    @Param({"0", "10", "64", "200", "1000"})
    public int workers;

    private final TimeSource time = new SystemTimeSource();
    private final Random random = new Random(SEED);
    private final List<PromptPrefix> prompts = new ArrayList<>();
    private final Deque<Running> running = new ArrayDeque<>();
    private AdmissionController admission;
    private WorkerTable table;
    private long lastTicketNumber;

    private record Running(String id, String worker) {}

    /** Fills the queues and half of the workers' slots. */
    @Setup
    public void fill() {
        ComparedPolicy compared = ComparedPolicy.all().stream()
                .filter(candidate -> candidate.name().equals(policy))
                .findFirst()
                .orElseThrow();
        admission = compared.policies().admission().get();
        table = new WorkerTable(compared.policies().routing(), time, random);
        List<Upstream> upstreams = new ArrayList<>();
        for (int index = 0; index < workers; index++) {
            upstreams.add(new Upstream("worker-" + index, "care-llm", "127.0.0.1", 1, "prairie-a", CONCURRENCY));
        }
        table.configure(upstreams);
        for (int index = 0; index < PROMPTS; index++) {
            prompts.add(PromptPrefix.of("guide " + index + " care for your set. ".repeat(PROMPT_CHARS / 20)));
        }
        for (int index = 0; index < BACKLOG_REQUESTS; index++) {
            admission.offer(newTicket());
        }
        for (int index = 0; index < Math.max(1, workers) * CONCURRENCY / 2; index++) {
            admission.offer(newTicket());
            startNext();
        }
    }

    private Ticket newTicket() {
        lastTicketNumber++;
        Tier tier = Tier.values()[(int) (lastTicketNumber % Tier.values().length)];
        RequestClass requestClass =
                new RequestClass(tier.label(), "care-llm", "level", tier, true, Optional.empty(), Optional.empty());
        ServiceLevel level = new ServiceLevel(
                "level", 820, 27, DEADLINE_MILLIS, DEADLINE_MILLIS, 10 + tier.ordinal(), 10 * BACKLOG_REQUESTS);
        long nowMillis = time.monotonicMillis();
        String workspace = "studio-" + random.nextInt(WORKSPACES);
        return new Ticket(
                "request-" + lastTicketNumber, workspace, requestClass, level, nowMillis, nowMillis + DEADLINE_MILLIS);
    }

    private void startNext() {
        Ticket next = admission.poll(time.monotonicMillis()).orElseThrow();
        running.addLast(new Running(next.id(), workers == 0 ? "" : acquireWorker(next)));
    }

    private String acquireWorker(Ticket next) {
        PromptPrefix prompt = prompts.get(random.nextInt(PROMPTS));
        RoutingRequest request = new RoutingRequest(next.requestClass().tier(), prompt, Set.of());
        return table.acquire(request).orElseThrow().name();
    }

    private void finishOldest() {
        Running ended = running.removeFirst();
        if (workers > 0) {
            table.release(ended.worker());
        }
        admission.finished(ended.id(), ANSWER_TOKENS, true, time.monotonicMillis());
    }

    /**
     * Offers one request, starts the next one and finishes the oldest running one.
     *
     * @return the number of running requests
     */
    @Benchmark
    public int decide() {
        admission.offer(newTicket());
        startNext();
        finishOldest();
        return running.size();
    }
}
