package io.lagoonseam.core.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import org.testng.annotations.Test;

public final class EventCatalogueTest {

    @Test
    public void pageListsEveryEvent() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "EVENTS.md"));
        for (EventCode code : EventCode.values()) {
            String row = "| " + code.number() + " | " + code.name() + " | "
                    + code.level().name().toLowerCase(Locale.ROOT) + " | " + code.summary() + " |";
            assertTrue(page.contains(row), "docs/EVENTS.md lacks the row: " + row);
        }
    }

    @Test
    public void numbersAreUnique() {
        long distinct = Arrays.stream(EventCode.values())
                .mapToInt(EventCode::number)
                .distinct()
                .count();
        assertEquals(distinct, EventCode.values().length);
    }
}
