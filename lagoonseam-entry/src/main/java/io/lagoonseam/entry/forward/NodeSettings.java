package io.lagoonseam.entry.forward;

import io.lagoonseam.entry.settings.ListenAddress;
import java.util.List;
import java.util.Optional;

/**
 * The settings of a node.
 *
 * @param nodeName the name of the node
 * @param dataCentre the data centre of the node
 * @param callers the address that callers connect to
 * @param readiness the address that serves the readiness check
 * @param peers the address that other nodes connect to
 * @param detours the address on which this node takes requests of nodes that are cut off from workers; all nodes use
 *     the same port
 * @param firstStart whether the deployment as a whole starts for the first time
 * @param seedHosts the IP addresses of some nodes, which may no longer exist
 * @param store the address of the store
 * @param bounds the limits that the deployment sets
 * @param resources the resources of the VM
 * @param usage how usage is reported, empty if it is not
 */
public record NodeSettings(
        String nodeName,
        String dataCentre,
        ListenAddress callers,
        ListenAddress readiness,
        ListenAddress peers,
        ListenAddress detours,
        boolean firstStart,
        List<String> seedHosts,
        ListenAddress store,
        Bounds bounds,
        Resources resources,
        Optional<Usage> usage) {

    /** Copies the list of seed hosts. */
    public NodeSettings {
        seedHosts = List.copyOf(seedHosts);
    }

    /**
     * The limits that the deployment sets.
     *
     * @param stopMillis the time from the stop signal until the process is killed, in milliseconds
     * @param retryRatio the retries of a service that are allowed for each request in the window
     * @param retryWindowMillis the window in which requests and retries are counted, in milliseconds
     * @param retrySlack the retries of a service that are allowed in each window in addition
     * @param recordIntervalMillis the interval at which workers write their records, in milliseconds
     */
    public record Bounds(
            long stopMillis, double retryRatio, long retryWindowMillis, double retrySlack, long recordIntervalMillis) {}

    /**
     * How the usage of workspaces is reported to the platform.
     *
     * @param platform the address that takes the reports
     * @param windowMillis the length of a window, in milliseconds
     * @param leaseMillis the least time between two holders of the duty that the platform allows, in milliseconds
     */
    public record Usage(ListenAddress platform, long windowMillis, long leaseMillis) {}

    /**
     * The resources of the VM.
     *
     * @param memoryMegabytes the memory of the process, in megabytes
     * @param maxDescriptors the limit of open files and sockets of the process
     * @param cpuMillicores the processor capacity, in thousandths of a core of the usual speed
     */
    public record Resources(int memoryMegabytes, int maxDescriptors, int cpuMillicores) {

        /**
         * Returns a bound of what the process may keep of one kind: a share of its memory, or of its heap where that is
         * less.
         *
         * @param memoryShare the share of the memory of the process
         * @param heapShare the share of the heap; the shares of all kinds leave room for what has no bound of its own
         * @return the bound, in bytes
         */
        public long boundBytes(double memoryShare, double heapShare) {
            return Math.round(Math.min(
                    memoryShare * (memoryMegabytes << 20L),
                    heapShare * Runtime.getRuntime().maxMemory()));
        }
    }
}
