package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Checks who gets a place first and who is given up. */
public class WaitingLineTest {

    @Test
    public void theMoreUrgentGoFirstThenThoseWithLessTime() {
        WaitingLine<String> line = new WaitingLine<>();
        line.add("digest", 2, 100);
        line.add("tip late", 0, 300);
        line.add("reply", 1, 50);
        line.add("tip", 0, 200);
        List<String> order = new ArrayList<>();
        line.offer(order::add);
        assertEquals(order, List.of("tip", "tip late", "reply", "digest"));
    }

    @Test
    public void oneWithoutAPlaceDoesNotKeepBackTheOthers() {
        WaitingLine<String> line = new WaitingLine<>();
        line.add("for a full worker", 0, 100);
        line.add("for a free worker", 1, 100);
        List<String> placed = new ArrayList<>();
        line.offer(request -> request.contains("free") && placed.add(request));
        assertEquals(placed, List.of("for a free worker"));
        assertEquals(line.size(), 1);
    }

    @Test
    public void whatCannotBeBegunInTimeIsGivenUp() {
        WaitingLine<String> line = new WaitingLine<>();
        line.add("soon", 0, 100);
        line.add("later", 0, 200);
        assertEquals(line.expire(100), List.of("soon"));
        assertEquals(line.size(), 1);
    }
}
