package io.lagoonseam.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.lagoonseam.core.routing.CapacityDemand;
import java.util.Arrays;
import java.util.Map;
import org.testng.annotations.Test;

public final class RoutingMessagesTest {

    @Test
    public void decodesEncodedDemandAndGrants() {
        RoutingMessages.Demand demand =
                new RoutingMessages.Demand(new CapacityDemand(7, Map.of("care-llm-1", 16L, "care-llm-2", 8L)));
        assertEquals(RoutingMessages.Demand.decode(demand.encode()), demand);
        RoutingMessages.Grants grants = new RoutingMessages.Grants(Map.of("care-llm-1", 0L));
        assertEquals(RoutingMessages.Grants.decode(grants.encode()), grants);
    }

    @Test
    public void rejectsTruncatedMessages() {
        byte[] whole = new RoutingMessages.Demand(new CapacityDemand(7, Map.of("care-llm-1", 16L))).encode();
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(RuntimeException.class, () -> RoutingMessages.Demand.decode(truncated));
        }
    }
}
