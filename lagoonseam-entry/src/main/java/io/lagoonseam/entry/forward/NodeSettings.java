package io.lagoonseam.entry.forward;

import io.lagoonseam.entry.settings.ListenAddress;
import java.util.List;

/**
 * What a node learns at its start.
 *
 * @param nodeName its name
 * @param dataCentre where it is
 * @param callers where it listens for callers
 * @param readiness where it is asked whether it is ready
 * @param peers where it listens for other nodes
 * @param firstStart whether the whole deployment starts for the first time
 * @param seedHosts the IP numbers of some nodes, which may be gone
 * @param store the address of the store
 * @param bounds what the deployment asks for
 * @param resources what the VM has
 */
public record NodeSettings(
        String nodeName,
        String dataCentre,
        ListenAddress callers,
        ListenAddress readiness,
        ListenAddress peers,
        boolean firstStart,
        List<String> seedHosts,
        ListenAddress store,
        Bounds bounds,
        Resources resources) {

    /** Copies the list. */
    public NodeSettings {
        seedHosts = List.copyOf(seedHosts);
    }

    /**
     * What the deployment asks for.
     *
     * @param stopMillis the time from the request to stop until the process is killed
     * @param repeatRatio repeats of a service for each request
     * @param repeatWindowMillis the window in which repeats are counted
     * @param repeatSlack repeats of a service in each window besides
     */
    public record Bounds(long stopMillis, double repeatRatio, long repeatWindowMillis, double repeatSlack) {}

    /**
     * What the VM has.
     *
     * @param memoryMegabytes the memory of the process
     * @param maxDescriptors the open files and sockets of the process
     */
    public record Resources(int memoryMegabytes, int maxDescriptors) {}
}
