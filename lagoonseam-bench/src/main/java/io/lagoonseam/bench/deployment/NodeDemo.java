package io.lagoonseam.bench.deployment;

import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import java.io.PrintStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Sends requests of each kind of work through three nodes with stand-in workers and prints the status codes received.
 */
public final class NodeDemo {

    private static final int NODES = 3;
    private static final int WORKERS = 2;
    private static final int PREFIX_SEGMENTS = 5;
    private static final long ROUND_MILLIS = 50;
    private static final long ANSWER_TIMEOUT_SECONDS = 10;
    private static final List<String> KINDS = List.of("read", "pay", "talk", "chat");

    private final int seconds;
    private final PrintStream out;
    private final Consumer<String> events;

    /**
     * Creates a demo.
     *
     * @param seconds the time in seconds during which requests are sent
     * @param out the stream to which the table is printed
     * @param events receives each event of all nodes as one JSON line; called from the log thread of each node,
     *     possibly at the same time
     */
    public NodeDemo(int seconds, PrintStream out, Consumer<String> events) {
        this.seconds = seconds;
        this.out = out;
        this.events = events;
    }

    private record Sent(String kind, CompletableFuture<HttpResponse<String>> answer) {}

    /**
     * Runs the demo and prints one line for each kind of work.
     *
     * @return whether every request was answered with status 200
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public boolean run() throws InterruptedException {
        try (LocalDeployment deployment = new LocalDeployment(events)) {
            for (int index = 1; index <= WORKERS; index++) {
                deployment.startWorker("app", WorkerOptions.plain("plain-" + index));
                deployment.startWorker("llm", WorkerOptions.engine("engine-" + index));
            }
            deployment.configure();
            List<LocalDeployment.Node> nodes = new ArrayList<>();
            for (int index = 0; index < NODES; index++) {
                nodes.add(deployment.startNode());
            }
            nodes.forEach(deployment::awaitReady);
            return report(send(deployment, nodes));
        }
    }

    private List<Sent> send(LocalDeployment deployment, List<LocalDeployment.Node> nodes) throws InterruptedException {
        List<Sent> sent = new ArrayList<>();
        long rounds = TimeUnit.SECONDS.toMillis(seconds) / ROUND_MILLIS;
        for (int round = 0; round < rounds; round++) {
            for (String kind : KINDS) {
                HttpRequest.Builder request =
                        deployment.request(nodes.get(round % NODES), "/" + kind + "/x", kind + "-" + round);
                PlatformFixtures.promptHeaders("part" + round % PREFIX_SEGMENTS, "own" + round)
                        .forEach(request::header);
                if (!"read".equals(kind)) {
                    request.POST(HttpRequest.BodyPublishers.ofString("{}"));
                }
                sent.add(new Sent(
                        kind, deployment.client().sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())));
            }
            Thread.sleep(ROUND_MILLIS);
        }
        return sent;
    }

    private boolean report(List<Sent> sent) throws InterruptedException {
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        boolean allSucceeded = true;
        for (Sent request : sent) {
            String status;
            try {
                status = String.valueOf(request.answer()
                        .get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .statusCode());
            } catch (ExecutionException | TimeoutException e) {
                status = "no answer";
            }
            allSucceeded &= "200".equals(status);
            counts.computeIfAbsent(request.kind(), kind -> new TreeMap<>()).merge(status, 1, Integer::sum);
        }
        counts.forEach((kind, statuses) -> out.printf("%-6s %s%n", kind, statuses));
        return allSucceeded;
    }
}
