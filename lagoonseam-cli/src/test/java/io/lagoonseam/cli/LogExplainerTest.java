package io.lagoonseam.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/**
 * Verifies that the log lines of one request are selected and printed in time order, although a line may have a prefix,
 * be truncated, contain no JSON object, or contain the request's id in another field.
 */
public class LogExplainerTest {

    private static final String LINES = String.join(
            "\n",
            "  3.1 node-1 {\"time\":30,\"node\":\"node-1\",\"event\":432,\"name\":\"REQUEST_FAILED\",\"request\":\"r1\",\"status\":502}",
            "{\"time\":10,\"node\":\"node-1\",\"event\":211,\"name\":\"REQUEST_TAKEN\",\"request\":\"r1\"}",
            "{\"time\":12,\"node\":\"node-1\",\"event\":211,\"name\":\"REQUEST_TAKEN\",\"request\":\"r2\",\"note\":\"r1\"}",
            "{\"time\":20,\"node\":\"node-1\",\"event\":430,\"name\":\"REQUEST_SENT\",\"request\":\"r1\",\"worker\":\"w1\"}",
            "{\"time\":21,\"node\":\"r1",
            "no object at all");

    private static String explain(String id, boolean expected) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        boolean actual = new LogExplainer(id)
                .explain(
                        "-",
                        new ByteArrayInputStream(LINES.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(out, true, StandardCharsets.UTF_8));
        assertEquals(actual, expected);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void printsLinesOfRequestInTimeOrder() throws Exception {
        String[] lines = explain("r1", true).split("\n");
        assertEquals(lines.length, 3);
        assertTrue(lines[0].contains("REQUEST_TAKEN"));
        assertTrue(lines[1].contains("10 ms") && lines[1].contains("worker=w1"), lines[1]);
        assertTrue(lines[2].contains("20 ms") && lines[2].contains("status=502"), lines[2]);
    }

    @Test
    public void reportsUnknownRequest() throws Exception {
        assertFalse(explain("r9", false).isEmpty());
    }
}
