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

/** One request is offered, one is polled and gets a worker, and one ends, with a backlog in every class. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionCostBenchmark {

    private static final int BACKLOG = 500;
    private static final int WORKSPACES = 40;
    private static final int CONCURRENCY = 16;
    private static final int PROMPTS = 64;
    private static final int PROMPT_CHARS = 600;
    private static final long DEADLINE_MILLIS = 3_600_000;
    private static final int ANSWER_TOKENS = 38;
    private static final long SEED = 5;

    /** The name of the compared policies. */
    @Param({ComparedPolicy.CHOSEN, "round robin + FIFO"})
    public String policy;

    /** The number of workers; without any, admission is measured alone. */
    @Param({"0", "10", "200", "1000"})
    public int workers;

    private final TimeSource time = new SystemTimeSource();
    private final Random random = new Random(SEED);
    private final List<PromptPrefix> prompts = new ArrayList<>();
    private final Deque<Running> running = new ArrayDeque<>();
    private AdmissionController admission;
    private WorkerTable table;
    private long number;

    private record Running(String id, String worker) {}

    /** Fills the queues and half of the workers' places. */
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
        for (int index = 0; index < BACKLOG; index++) {
            admission.offer(ticket());
        }
        for (int index = 0; index < Math.max(1, workers) * CONCURRENCY / 2; index++) {
            admission.offer(ticket());
            start();
        }
    }

    private Ticket ticket() {
        number++;
        Tier tier = Tier.values()[(int) (number % Tier.values().length)];
        RequestClass requestClass =
                new RequestClass(tier.label(), "care-llm", "level", tier, true, Optional.empty(), Optional.empty());
        ServiceLevel level =
                new ServiceLevel("level", 820, 27, DEADLINE_MILLIS, DEADLINE_MILLIS, 10 + tier.ordinal(), 10 * BACKLOG);
        long nowMillis = time.monotonicMillis();
        String workspace = "studio-" + random.nextInt(WORKSPACES);
        return new Ticket("request-" + number, workspace, requestClass, level, nowMillis, nowMillis + DEADLINE_MILLIS);
    }

    private void start() {
        Ticket next = admission.poll(time.monotonicMillis()).orElseThrow();
        running.addLast(new Running(next.id(), workers == 0 ? "" : acquire(next)));
    }

    private String acquire(Ticket next) {
        PromptPrefix prompt = prompts.get(random.nextInt(PROMPTS));
        RoutingRequest request = new RoutingRequest(next.requestClass().tier(), prompt, Set.of());
        return table.acquire(request).orElseThrow().name();
    }

    private void end() {
        Running ended = running.removeFirst();
        if (workers > 0) {
            table.release(ended.worker());
        }
        admission.finished(ended.id(), ANSWER_TOKENS, true, time.monotonicMillis());
    }

    /**
     * Decides about one request.
     *
     * @return the number of requests that run
     */
    @Benchmark
    public int decide() {
        admission.offer(ticket());
        start();
        end();
        return running.size();
    }
}
