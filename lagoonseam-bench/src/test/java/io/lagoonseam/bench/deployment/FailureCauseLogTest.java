package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that the log names the cause of each refused or failed request. Workers return errors and lose answers, one
 * path has no route, and at the end the model service has no workers left.
 */
public class FailureCauseLogTest {

    private static final int ROUNDS = 25;

    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private LocalDeployment deployment;
    private LocalDeployment.Node node;

    @BeforeMethod
    public void start() {
        lines.clear();
        deployment = new LocalDeployment(lines::add);
        for (int index = 1; index <= 2; index++) {
            WorkerStandIn plain = deployment.startWorker("app", WorkerOptions.plain("p" + index));
            plain.setFaults(new JsonObject().put("loseAnswerShare", 0.3).put("failShare", 0.1));
            deployment.startWorker("llm", WorkerOptions.engine("e" + index));
        }
        deployment.configure();
        node = deployment.startNode();
        deployment.awaitReady(node);
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    /** Sends one request and returns the status of its answer, or 0 if there was none or it was incomplete. */
    private int send(String path, String id) throws InterruptedException {
        HttpRequest.Builder request = deployment.request(node, path, id);
        PlatformFixtures.promptHeaders("part", "own" + id).forEach(request::header);
        request.POST(HttpRequest.BodyPublishers.ofString("{}"));
        try {
            HttpResponse<String> answer = deployment.send(request.build());
            return answer.statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private List<JsonObject> linesOf(String id) {
        List<JsonObject> requestLines = new ArrayList<>();
        for (String line : lines) {
            JsonObject parsed = new JsonObject(line);
            if (id.equals(parsed.getString("request"))) {
                requestLines.add(parsed);
            }
        }
        return requestLines;
    }

    @Test
    public void logNamesCauseOfEachRefusalAndFailure() throws Exception {
        Map<String, Integer> statuses = new TreeMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (String kind : List.of("pay", "read", "none")) {
                String id = kind + "-" + round;
                statuses.put(id, send("/" + kind + "/x", id));
            }
        }
        deployment.runInStore(() -> deployment.store().remove("servers", "e1"));
        deployment.runInStore(() -> deployment.store().remove("servers", "e2"));
        Thread.sleep(200);
        statuses.put("gone", send("/chat/x", "gone"));
        Thread.sleep(300);
        int failures = 0;
        for (Map.Entry<String, Integer> entry : statuses.entrySet()) {
            if (entry.getValue() == 200) {
                continue;
            }
            failures++;
            List<JsonObject> requestLines = linesOf(entry.getKey());
            boolean causeNamed = requestLines.stream()
                    .anyMatch(line -> line.containsKey("reason")
                            || "REQUEST_REJECTED".equals(line.getString("name"))
                            || "REQUEST_ANSWERED".equals(line.getString("name")) && line.getInteger("status") >= 500);
            assertTrue(causeNamed, entry + ": no log line names the cause of the failure; lines: " + requestLines);
        }
        assertTrue(
                failures > ROUNDS,
                "expected more than " + ROUNDS + " failures from missing routes and lost answers, got " + failures);
        assertEquals(statuses.get("gone").intValue(), 503);
    }
}
