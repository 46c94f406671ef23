package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reads the settings again, when it is told to and from time to time, since the file may change without a signal.
 * Requests in flight keep what they began with. A file that cannot be read changes nothing.
 */
public final class SettingsReload {

    private final Function<List<String>, Optional<NodeSettings>> reader;
    private final CurrentSettings settings;
    private final DecisionLog log;
    private final Runnable onChange;
    private Optional<NodeSettings> lastRead;
    private List<String> lastErrors = List.of();

    /**
     * Creates a reader.
     *
     * @param reader reads the file; receives the list to which each error is added with file and line
     * @param settings the settings in force
     * @param log told of each change and of each new error
     * @param onChange called after a change
     */
    public SettingsReload(
            Function<List<String>, Optional<NodeSettings>> reader,
            CurrentSettings settings,
            DecisionLog log,
            Runnable onChange) {
        this.reader = reader;
        this.settings = settings;
        this.log = log;
        this.onChange = onChange;
        this.lastRead = Optional.of(settings.get());
    }

    /**
     * Reads the file.
     *
     * @param asked whether somebody asked for it, who is then told also that nothing has changed
     */
    public void read(boolean asked) {
        List<String> errors = new ArrayList<>();
        Optional<NodeSettings> read = reader.apply(errors);
        if (read.isEmpty()) {
            if (asked || !errors.equals(lastErrors)) {
                errors.forEach(error -> log.record(EventCode.SETTINGS_UNREADABLE, error));
            }
            lastErrors = errors;
            return;
        }
        lastErrors = List.of();
        if (read.equals(lastRead)) {
            if (asked) {
                log.record(EventCode.SETTINGS_READ, "unchanged");
            }
            return;
        }
        lastRead = read;
        List<String> later = settings.change(read.get());
        onChange.run();
        log.record(
                EventCode.SETTINGS_READ,
                later.isEmpty() ? "in force" : "in force but for what holds from the next start on: " + later);
    }
}
