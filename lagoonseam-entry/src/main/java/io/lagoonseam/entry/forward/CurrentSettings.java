package io.lagoonseam.entry.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** The settings in force. They change while the node runs; what it listens on and its name hold until it ends. */
public final class CurrentSettings implements Supplier<NodeSettings> {

    private final NodeSettings started;
    private volatile NodeSettings inForce;

    /**
     * Creates the settings of a node that starts.
     *
     * @param started the settings that it starts with
     */
    public CurrentSettings(NodeSettings started) {
        this.started = started;
        this.inForce = started;
    }

    @Override
    public NodeSettings get() {
        return inForce;
    }

    /**
     * Puts changed settings in force, as far as they can be without an end of the process.
     *
     * @param read the settings as they were read again
     * @return what holds from the next start on only, by name; empty if all is in force
     */
    List<String> change(NodeSettings read) {
        inForce = new NodeSettings(
                started.nodeName(),
                started.dataCentre(),
                started.callers(),
                started.readiness(),
                started.peers(),
                started.firstStart(),
                read.seedHosts(),
                read.store(),
                read.bounds(),
                read.resources());
        List<String> later = new ArrayList<>();
        addIfChanged(later, "the node's name", started.nodeName(), read.nodeName());
        addIfChanged(later, "the data centre", started.dataCentre(), read.dataCentre());
        addIfChanged(later, "the callers' address", started.callers(), read.callers());
        addIfChanged(later, "the readiness address", started.readiness(), read.readiness());
        addIfChanged(later, "the peers' address", started.peers(), read.peers());
        return later;
    }

    private static void addIfChanged(List<String> later, String name, Object before, Object now) {
        if (!before.equals(now)) {
            later.add(name);
        }
    }
}
