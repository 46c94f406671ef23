package io.lagoonseam.entry.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Holds the settings in force, which may change while the node runs. The node's name, its data centre, the addresses
 * that it listens on and {@link NodeSettings#firstStart()} change only with a restart. Reads are safe from any thread.
 */
public final class CurrentSettings implements Supplier<NodeSettings> {

    private final NodeSettings initial;
    private volatile NodeSettings inForce;

    /**
     * Creates the settings of a starting node.
     *
     * @param initial the settings at the start
     */
    public CurrentSettings(NodeSettings initial) {
        this.initial = initial;
        this.inForce = initial;
    }

    @Override
    public NodeSettings get() {
        return inForce;
    }

    /**
     * Applies changed settings, except those that need a restart of the process.
     *
     * @param loaded the settings that were read from the file
     * @return the names of the changed settings that take effect only after a restart; empty if all changes are in
     *     force
     */
    List<String> apply(NodeSettings loaded) {
        inForce = new NodeSettings(
                initial.nodeName(),
                initial.dataCentre(),
                initial.callers(),
                initial.readiness(),
                initial.peers(),
                initial.detours(),
                initial.firstStart(),
                loaded.seedHosts(),
                loaded.store(),
                loaded.bounds(),
                loaded.resources(),
                initial.usage());
        List<String> needRestart = new ArrayList<>();
        addIfChanged(needRestart, "the node's name", initial.nodeName(), loaded.nodeName());
        addIfChanged(needRestart, "the data centre", initial.dataCentre(), loaded.dataCentre());
        addIfChanged(needRestart, "the callers' address", initial.callers(), loaded.callers());
        addIfChanged(needRestart, "the readiness address", initial.readiness(), loaded.readiness());
        addIfChanged(needRestart, "the peers' address", initial.peers(), loaded.peers());
        addIfChanged(needRestart, "the reports of usage", initial.usage(), loaded.usage());
        return needRestart;
    }

    private static void addIfChanged(List<String> needRestart, String name, Object before, Object now) {
        if (!before.equals(now)) {
            needRestart.add(name);
        }
    }
}
