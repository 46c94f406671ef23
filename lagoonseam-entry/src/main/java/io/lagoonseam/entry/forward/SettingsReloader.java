package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reloads the settings file on request and periodically, since the file may change without a signal. Changes that need
 * no restart take effect at once, also for requests in flight. A file that cannot be read or is invalid changes
 * nothing.
 */
public final class SettingsReloader {

    private final Function<List<String>, Optional<NodeSettings>> reader;
    private final CurrentSettings settings;
    private final DecisionLog log;
    private final Runnable onChange;
    private Optional<NodeSettings> lastLoaded;
    private List<String> lastErrors = List.of();

    /**
     * Creates a reloader of one settings file.
     *
     * @param reader reads the file; receives a list to which it adds each error with file and line
     * @param settings the settings in force
     * @param log receives an event for each change and each new error
     * @param onChange called after a change
     */
    public SettingsReloader(
            Function<List<String>, Optional<NodeSettings>> reader,
            CurrentSettings settings,
            DecisionLog log,
            Runnable onChange) {
        this.reader = reader;
        this.settings = settings;
        this.log = log;
        this.onChange = onChange;
        this.lastLoaded = Optional.of(settings.get());
    }

    /**
     * Reads the file and applies its changes.
     *
     * @param requested whether the reload was requested explicitly; then an unchanged file and an error already logged
     *     are logged too
     */
    public void reload(boolean requested) {
        List<String> errors = new ArrayList<>();
        Optional<NodeSettings> loaded = reader.apply(errors);
        if (loaded.isEmpty()) {
            if (requested || !errors.equals(lastErrors)) {
                errors.forEach(error -> log.record(EventCode.SETTINGS_UNREADABLE, error));
            }
            lastErrors = errors;
            return;
        }
        lastErrors = List.of();
        if (loaded.equals(lastLoaded)) {
            if (requested) {
                log.record(EventCode.SETTINGS_READ, "unchanged");
            }
            return;
        }
        lastLoaded = loaded;
        List<String> needRestart = settings.apply(loaded.get());
        onChange.run();
        log.record(
                EventCode.SETTINGS_READ,
                needRestart.isEmpty()
                        ? "in force"
                        : "in force, except settings that require a restart: " + needRestart);
    }
}
