package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.entry.settings.ListenAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the reload of the settings file while a node runs. */
public class SettingsReloaderTest {

    private final List<String> lines = new ArrayList<>();
    private CurrentSettings current;
    private SettingsReloader reloader;
    private Optional<NodeSettings> file;
    private int changes;

    private static NodeSettings settings(int callerPort, long stopMillis, int storePort) {
        return new NodeSettings(
                "node-1",
                "dc-1",
                new ListenAddress("10.0.0.1", callerPort),
                new ListenAddress("10.0.0.1", 2),
                new ListenAddress("10.0.0.1", 3),
                new ListenAddress("10.0.0.1", 5),
                true,
                List.of(),
                new ListenAddress("10.9.0.1", storePort),
                new NodeSettings.Bounds(stopMillis, 0.2, 10_000, 50, 1_200),
                new NodeSettings.Resources(280, 4_000, 750),
                Optional.empty());
    }

    @BeforeMethod
    public void start() {
        lines.clear();
        changes = 0;
        current = new CurrentSettings(settings(1, 8_000, 7));
        file = Optional.of(settings(1, 8_000, 7));
        DecisionLog log = new DecisionLog() {
            @Override
            public void record(EventCode code, String detail) {
                lines.add(code + " " + detail);
            }

            @Override
            public void recordDecision(EventCode code, String requestId, Object... fields) {
                lines.add(code.toString());
            }
        };
        reloader = new SettingsReloader(
                errors -> {
                    if (file.isEmpty()) {
                        errors.add("local.toml:7: bounds.grace_s is not a number");
                    }
                    return file;
                },
                current,
                log,
                () -> changes++);
    }

    @Test
    public void unchangedFileIsLoggedOnlyOnRequest() {
        reloader.reload(false);
        assertEquals(lines, List.of());
        reloader.reload(true);
        assertEquals(lines, List.of("SETTINGS_READ unchanged"));
        assertEquals(changes, 0);
    }

    @Test
    public void boundsAndStoreAddressChangeWithoutRestart() {
        file = Optional.of(settings(1, 4_000, 9));
        reloader.reload(false);
        reloader.reload(false);
        assertEquals(current.get().bounds().stopMillis(), 4_000);
        assertEquals(current.get().store().port(), 9);
        assertEquals(lines, List.of("SETTINGS_READ in force"));
        assertEquals(changes, 1);
    }

    @Test
    public void listenAddressChangesOnlyWithRestart() {
        file = Optional.of(settings(11, 4_000, 7));
        reloader.reload(true);
        assertEquals(current.get().callers().port(), 1);
        assertEquals(current.get().bounds().stopMillis(), 4_000);
        assertEquals(
                lines,
                List.of("SETTINGS_READ in force, except settings that require a restart: [the callers' address]"));
    }

    @Test
    public void unreadableFileChangesNothingAndIsLoggedOnce() {
        file = Optional.empty();
        reloader.reload(false);
        reloader.reload(false);
        assertEquals(lines, List.of("SETTINGS_UNREADABLE local.toml:7: bounds.grace_s is not a number"));
        assertEquals(current.get().bounds().stopMillis(), 8_000);
        reloader.reload(true);
        assertEquals(lines.size(), 2);
    }
}
