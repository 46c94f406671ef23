package io.lagoonseam.entry.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Holds the settings in force, which may change while the node runs. The node's name, its data centre and the addresses
 * that it listens on change only with a restart. Reads are safe from any thread.
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
     * @param read the settings that were read
     * @return the names of the changed settings that take effect only after a restart; empty if all changes are in
     *     force
     */
    List<String> apply(NodeSettings read) {
        inForce = new NodeSettings(
                initial.nodeName(),
                initial.dataCentre(),
                initial.callers(),
                initial.readiness(),
                initial.peers(),
                initial.firstStart(),
                read.seedHosts(),
                read.store(),
                read.bounds(),
                read.resources());
        List<String> needRestart = new ArrayList<>();
        addIfChanged(needRestart, "the node's name", initial.nodeName(), read.nodeName());
        addIfChanged(needRestart, "the data centre", initial.dataCentre(), read.dataCentre());
        addIfChanged(needRestart, "the callers' address", initial.callers(), read.callers());
        addIfChanged(needRestart, "the readiness address", initial.readiness(), read.readiness());
        addIfChanged(needRestart, "the peers' address", initial.peers(), read.peers());
        return needRestart;
    }

    private static void addIfChanged(List<String> needRestart, String name, Object before, Object now) {
        if (!before.equals(now)) {
            needRestart.add(name);
        }
    }
}
