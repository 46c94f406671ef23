package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the order of dispatch and the expiry of queued requests. */
public class RequestQueueTest {

    @Test
    public void ordersByPriorityThenByExpiry() {
        RequestQueue<String> queue = new RequestQueue<>();
        queue.add("digest", 2, 100);
        queue.add("tip late", 0, 300);
        queue.add("reply", 1, 50);
        queue.add("tip", 0, 200);
        List<String> order = new ArrayList<>();
        queue.dispatch(order::add);
        assertEquals(order, List.of("tip", "tip late", "reply", "digest"));
    }

    @Test
    public void aRequestWithoutASlotDoesNotBlockOthers() {
        RequestQueue<String> queue = new RequestQueue<>();
        queue.add("for a full worker", 0, 100);
        queue.add("for a free worker", 1, 100);
        List<String> dispatched = new ArrayList<>();
        queue.dispatch(request -> request.contains("free") && dispatched.add(request));
        assertEquals(dispatched, List.of("for a free worker"));
        assertEquals(queue.size(), 1);
    }

    @Test
    public void removesExpiredRequests() {
        RequestQueue<String> queue = new RequestQueue<>();
        queue.add("soon", 0, 100);
        queue.add("later", 0, 200);
        assertEquals(queue.expire(100), List.of("soon"));
        assertEquals(queue.size(), 1);
    }
}
