package io.lagoonseam.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.standin.engine.AnswerText;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Checks that answers stay correct and complete through one entry node while its engines fail in different ways. */
public final class EntryStreamRecoveryTest {

    private static final int REQUESTS = 40;

    private EngineFleet fleet;

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    private List<CompletableFuture<HttpResponse<String>>> requestCompletions(String label, int requests) {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int index = 0; index < requests; index++) {
            answers.add(fleet.requestCompletion(label + index));
        }
        return answers;
    }

    /** Sends requests that fill the retry budget and give the node an estimate of the engines' usual pace. */
    private void warmUp() {
        for (int round = 0; round < 5; round++) {
            requestCompletions("warm " + round + " ", REQUESTS).forEach(CompletableFuture::join);
        }
    }

    private static void assertMatchingAnswers(String label, List<CompletableFuture<HttpResponse<String>>> answers) {
        for (int index = 0; index < answers.size(); index++) {
            HttpResponse<String> response = answers.get(index).join();
            assertEquals(response.statusCode(), 200, response.body());
            assertEquals(text(response), expected(label + index));
        }
    }

    /** Returns the number of answered requests; checks that each other request got a refusal with Retry-After. */
    private static int assertMatchingAnswersOrRefusals(
            String label, List<CompletableFuture<HttpResponse<String>>> answers) {
        int answered = 0;
        for (int index = 0; index < answers.size(); index++) {
            HttpResponse<String> response = answers.get(index).join();
            if (response.statusCode() == 200) {
                assertEquals(text(response), expected(label + index));
                answered++;
            } else {
                assertTrue(response.headers().firstValue("Retry-After").isPresent(), response.body());
            }
        }
        return answered;
    }

    private static String text(HttpResponse<String> response) {
        return new JsonObject(response.body())
                .getJsonArray("choices")
                .getJsonObject(0)
                .getJsonObject("message")
                .getString("content");
    }

    private static String expected(String prompt) {
        return AnswerText.completeText(prompt, AnswerText.length(prompt, Integer.MAX_VALUE));
    }

    private void awaitRunning(int engine) throws Exception {
        while (fleet.engineCounters(engine).getInteger("running") == 0) {
            Thread.sleep(2);
        }
    }

    private void awaitFurtherTokens(int engine) throws Exception {
        long before = fleet.engineCounters(engine).getLong("generatedTokens");
        while (fleet.engineCounters(engine).getLong("generatedTokens") < before + 20) {
            Thread.sleep(2);
        }
    }

    @Test
    public void answerOfCrashedWorkerIsContinuedOnAnotherWorker() throws Exception {
        fleet = new EngineFleet(3, 3, "urgent", true);
        warmUp();
        List<CompletableFuture<HttpResponse<String>>> answers = requestCompletions("crash ", 24);
        awaitRunning(0);
        awaitFurtherTokens(0);
        fleet.injectFaults(0, new JsonObject().put("crashed", true));
        assertMatchingAnswers("crash ", answers);
        assertTrue(fleet.counter("attempts.extra.continuation") > 0, "no answer was continued on another worker");
        assertEquals(String.join("\n", fleet.violations()), "");
    }

    @Test
    public void streamsOnUnresponsiveConnectionsAreResumed() throws Exception {
        fleet = new EngineFleet(3, 3, "urgent", true);
        warmUp();
        List<CompletableFuture<HttpResponse<String>>> answers = requestCompletions("silent ", REQUESTS);
        for (int engine = 0; engine < fleet.engineCount(); engine++) {
            awaitRunning(engine);
            fleet.injectFaults(engine, new JsonObject().put("silenceShare", 0.33));
        }
        assertMatchingAnswers("silent ", answers);
        assertTrue(fleet.counter("attempts.extra.resume") > 0, "no stream was resumed");
        assertEquals(String.join("\n", fleet.violations()), "");
    }

    @Test
    public void unresponsiveStreamOfNonIdempotentClassIsResumedNotRetried() throws Exception {
        fleet = new EngineFleet(1, 3, "standard", false);
        warmUp();
        long arrivals = fleet.engineCounters(0).getLong("arrivals");
        List<CompletableFuture<HttpResponse<String>>> answers = requestCompletions("once ", 10);
        awaitFurtherTokens(0);
        fleet.injectFaults(0, new JsonObject().put("silenceShare", 1.0));
        assertMatchingAnswersOrRefusals("once ", answers);
        assertEquals(fleet.engineCounters(0).getLong("arrivals") - arrivals, 10);
        assertTrue(fleet.counter("attempts.extra.resume") > 0, "no stream was resumed");
        assertEquals(fleet.node().invariants().violations(Invariant.AT_MOST_ONCE), 0);
    }

    @Test
    public void mismatchedAnswersNeverReachCallers() throws Exception {
        fleet = new EngineFleet(3, 3, "urgent", true);
        warmUp();
        fleet.injectFaults(1, new JsonObject().put("crossed", true));
        List<CompletableFuture<HttpResponse<String>>> answers = requestCompletions("crossed ", REQUESTS);
        int answered = assertMatchingAnswersOrRefusals("crossed ", answers);
        assertTrue(answered >= REQUESTS * 0.9, "answered " + answered);
        assertTrue(fleet.count(EventCode.ANSWER_MISMATCHED) > 0, "no mismatched answer was detected");
        assertEquals(String.join("\n", fleet.violations()), "");
    }

    @Test
    public void lateAnswersAreComplete() throws Exception {
        fleet = new EngineFleet(2, 3, "urgent", true);
        warmUp();
        fleet.injectFaults(0, new JsonObject().put("lateMillis", 400));
        fleet.injectFaults(1, new JsonObject().put("lateMillis", 400));
        assertMatchingAnswersOrRefusals("late ", requestCompletions("late ", REQUESTS));
        assertEquals(String.join("\n", fleet.violations()), "");
    }

    @Test
    public void callerDisconnectCancelsUpstreamWork() throws Exception {
        fleet = new EngineFleet(1, 20, "standard", true);
        CompletableFuture<HttpResponse<String>> answer = fleet.requestCompletion("gone");
        awaitTotalTokens(5);
        answer.cancel(true);
        while (fleet.engineCounters(0).getLong("cancelledTokens") == 0) {
            Thread.sleep(5);
        }
        assertEquals(fleet.engineCounters(0).getInteger("running").intValue(), 0);
        assertTrue(fleet.counter("wasted.tokens.callerGone") > 0, "no wasted tokens were counted");
    }

    private void awaitTotalTokens(int tokens) throws Exception {
        while (fleet.engineCounters(0).getLong("generatedTokens") < tokens) {
            Thread.sleep(2);
        }
    }

    @Test
    public void totalFailureIsRefusedWithCorrectVerdictsAndFewRetries() throws Exception {
        fleet = new EngineFleet(3, 3, "urgent", true);
        warmUp();
        for (int engine = 0; engine < fleet.engineCount(); engine++) {
            fleet.injectFaults(engine, new JsonObject().put("crashed", true));
        }
        int requests = 400;
        List<CompletableFuture<HttpResponse<String>>> answers = requestCompletions("down ", requests);
        int answered = assertMatchingAnswersOrRefusals("down ", answers);
        assertEquals(answered, 0);
        long extra = fleet.counter("attempts.extra.retry")
                + fleet.counter("attempts.extra.hedge")
                + fleet.counter("attempts.extra.resume");
        assertTrue(extra < 0.2 * requests, extra + " extra attempts, requests: " + requests);
        assertEquals(String.join("\n", fleet.violations()), "");
    }
}
