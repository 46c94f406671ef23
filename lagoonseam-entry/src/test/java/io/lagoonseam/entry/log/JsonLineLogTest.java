package io.lagoonseam.entry.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.time.ManualTimeSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Checks the format of lines, the rate limit, and that a stalled output does not delay callers. */
public class JsonLineLogTest {

    private static final Pattern DROPPED = Pattern.compile("LOG_DROPPED.*REQUEST_TAKEN=([0-9]+)");

    @Test
    public void writesEachLineAsOneJsonObject() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        JsonLineLog log = new JsonLineLog("n1", new ManualTimeSource(), lines::add);
        log.recordDecision(EventCode.REQUEST_SENT, "r\"1", "worker", "w\n1", "tokens", 12, "copy", true);
        log.close();
        JsonNode line = new ObjectMapper().readTree(lines.get(0));
        assertEquals(line.path("event").asInt(), EventCode.REQUEST_SENT.number());
        assertEquals(line.path("request").asText(), "r\"1");
        assertEquals(line.path("worker").asText(), "w\n1");
        assertEquals(line.path("tokens").asInt(), 12);
        assertTrue(line.path("copy").asBoolean());
    }

    @Test
    public void overloadKeepsFailuresAndCountsDroppedLines() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        JsonLineLog log = new JsonLineLog("n1", new ManualTimeSource(), lines::add);
        for (int index = 0; index < 5_000; index++) {
            log.recordDecision(EventCode.REQUEST_TAKEN, "r" + index);
            if (index % 50 == 0) {
                log.recordDecision(EventCode.REQUEST_FAILED, "r" + index);
            }
            if (index == 2_500) {
                // lets the log write meanwhile, so that the dropped lines are counted in two lines
                Thread.sleep(300);
            }
        }
        log.close();
        long failures =
                lines.stream().filter(line -> line.contains("REQUEST_FAILED\"")).count();
        long routineLines =
                lines.stream().filter(line -> line.contains("REQUEST_TAKEN\"")).count();
        assertEquals(failures, 100);
        assertTrue(routineLines < 1_000, "routine lines over the rate limit: " + routineLines);
        // each of these lines counts the lines dropped since the previous one
        long dropped = lines.stream()
                .map(DROPPED::matcher)
                .filter(Matcher::find)
                .mapToLong(found -> Long.parseLong(found.group(1)))
                .sum();
        assertEquals(
                dropped,
                5_000 - routineLines,
                "LOG_DROPPED lines: "
                        + lines.stream()
                                .filter(line -> line.contains("LOG_DROPPED"))
                                .toList());
    }

    @Test
    public void stalledOutputDoesNotDelayCallers() throws Exception {
        CountDownLatch outputReleased = new CountDownLatch(1);
        JsonLineLog log = new JsonLineLog("n1", new ManualTimeSource(), line -> {
            try {
                outputReleased.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        long startNanos = System.nanoTime();
        for (int index = 0; index < 20_000; index++) {
            log.recordDecision(EventCode.REQUEST_FAILED, "r" + index);
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        outputReleased.countDown();
        log.close();
        assertTrue(millis < 5_000, "20,000 lines took " + millis + " ms");
    }
}
