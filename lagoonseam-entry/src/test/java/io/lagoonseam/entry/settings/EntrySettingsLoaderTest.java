package io.lagoonseam.entry.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public final class EntrySettingsLoaderTest {

    @Test
    public void readsTheExample() {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        Optional<EntrySettings> settings =
                new EntrySettingsLoader().load(Path.of("..", "examples", "entry-1.yaml"), reporter);
        assertEquals(reporter.errors().toString(), "[]");
        assertEquals(settings.orElseThrow().callers().port(), 8080);
    }

    @Test
    public void reportsAllFaultsTogether() {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        Optional<EntrySettings> settings = new EntrySettingsLoader().parse("s.yaml", """
                        nodeId: Entry 1
                        dataCentre: prairie-a
                        callers: {host: 127.0.0.1, port: 99999}
                        operators: {host: 127.0.0.1, port: 0}
                        platformUrl: http://127.0.0.1:9100
                        workerThreds: 3
                        """, reporter);
        assertTrue(settings.isEmpty());
        assertEquals(
                reporter.errors().stream().map(error -> error.line()).sorted().toList(), List.of(1, 3, 6));
    }
}
