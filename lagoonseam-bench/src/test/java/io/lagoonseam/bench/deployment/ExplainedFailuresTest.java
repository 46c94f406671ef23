package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.operator.PlatformTexts;
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

/** A run in which workers fail, lose answers and break streams off: each failure has a line that names its cause. */
public class ExplainedFailuresTest {

    private static final int ROUNDS = 25;

    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private LocalDeployment deployment;
    private LocalDeployment.Node node;

    @BeforeMethod
    public void start() {
        lines.clear();
        deployment = new LocalDeployment(lines::add);
        for (int index = 1; index <= 2; index++) {
            WorkerStandIn plain = deployment.worker("app", WorkerOptions.plain("p" + index));
            plain.faults(new JsonObject().put("loseAnswerShare", 0.3).put("failShare", 0.1));
            deployment.worker("llm", WorkerOptions.engine("e" + index));
        }
        deployment.configure();
        node = deployment.start();
        deployment.awaitReady(node);
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    /** Sends one request; returns the status of its answer, 0 for none or one that broke off. */
    private int send(String path, String id) throws InterruptedException {
        HttpRequest.Builder request = deployment.request(node, path, id);
        PlatformTexts.promptHeaders("part", "own" + id).forEach(request::header);
        request.POST(HttpRequest.BodyPublishers.ofString("{}"));
        try {
            HttpResponse<String> answer = deployment.send(request.build());
            return answer.statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private List<JsonObject> linesOf(String id) {
        List<JsonObject> found = new ArrayList<>();
        for (String line : lines) {
            JsonObject parsed = new JsonObject(line);
            if (id.equals(parsed.getString("request"))) {
                found.add(parsed);
            }
        }
        return found;
    }

    @Test
    public void eachRefusalAndFailureNamesItsCause() throws Exception {
        Map<String, Integer> statuses = new TreeMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (String kind : List.of("pay", "read", "none")) {
                String id = kind + "-" + round;
                statuses.put(id, send("/" + kind + "/x", id));
            }
        }
        deployment.inStore(() -> deployment.store().remove("servers", "e1"));
        deployment.inStore(() -> deployment.store().remove("servers", "e2"));
        Thread.sleep(200);
        statuses.put("gone", send("/chat/x", "gone"));
        Thread.sleep(300);
        int failures = 0;
        for (Map.Entry<String, Integer> entry : statuses.entrySet()) {
            if (entry.getValue() == 200) {
                continue;
            }
            failures++;
            List<JsonObject> found = linesOf(entry.getKey());
            boolean named = found.stream()
                    .anyMatch(line -> line.containsKey("reason")
                            || "REQUEST_REJECTED".equals(line.getString("name"))
                            || "REQUEST_ANSWERED".equals(line.getString("name")) && line.getInteger("status") >= 500);
            assertTrue(named, entry + " has only " + found);
        }
        assertTrue(failures > ROUNDS, "routes that do not exist and lost answers fail: " + failures);
        assertEquals(statuses.get("gone").intValue(), 503);
    }
}
