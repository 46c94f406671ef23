package io.lagoonseam.core.membership;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.platform.VmEntry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The upstreams that get no new work, combined from all sources: the VM list as read by this node or by the other
 * readers of the data centre, refused connections, and announcements by the upstreams themselves. A report by one
 * source is enough. Thread-safe.
 */
public final class LeavingUpstreams {

    /** Share of the listed upstreams above which their disappearance is taken as a fault of the VM list. */
    private static final double MAX_VANISHED_SHARE = 0.5;

    private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);
    private final Map<String, View> viewsByReader = new HashMap<>();
    private final Set<String> refusing = new HashSet<>();
    private final Set<String> announced = new HashSet<>();
    private final Set<String> listed = new HashSet<>();
    private Set<String> readers = Set.of();

    /**
     * Leaving upstreams as derived from the VM list by one of its readers.
     *
     * @param version a number that the reader increases with each change
     * @param names the names of the upstreams that are leaving or have vanished from the list
     */
    public record View(long version, Set<String> names) {

        /** Makes an immutable copy of the names. */
        public View {
            names = Set.copyOf(names);
        }
    }

    /**
     * Updates the view of this node from the VM list that it has read.
     *
     * @param readerId the id of this node
     * @param vms the VM list
     * @param upstreams the names of the configured upstreams
     * @param firstVersion the version of the first view, higher than those of earlier processes of this node
     * @return the view to send to other nodes
     */
    public View updateOwnView(String readerId, List<VmEntry> vms, Set<String> upstreams, long firstVersion) {
        return lock.call(() -> {
            Set<String> present = new HashSet<>();
            Set<String> names = new TreeSet<>();
            for (VmEntry vm : vms) {
                present.add(vm.name());
                if (vm.leaving() && upstreams.contains(vm.name())) {
                    names.add(vm.name());
                }
            }
            names.addAll(vanished(present, upstreams));
            View old = viewsByReader.get(readerId);
            if (old != null && old.names().equals(names)) {
                return old;
            }
            View view = new View(old == null ? firstVersion : old.version() + 1, names);
            viewsByReader.put(readerId, view);
            return view;
        });
    }

    /**
     * Returns the upstreams that were listed earlier but are missing now, or none if more than half of them are missing
     * at once, because such a list is presumed to be faulty.
     */
    private Set<String> vanished(Set<String> present, Set<String> upstreams) {
        listed.addAll(present);
        listed.retainAll(upstreams);
        Set<String> missing = new TreeSet<>(listed);
        missing.removeAll(present);
        return missing.size() > listed.size() * MAX_VANISHED_SHARE ? Set.of() : missing;
    }

    /**
     * Merges the view of another reader.
     *
     * @param readerId the id of the node that read the VM list
     * @param view the received view; ignored if it is not newer than the last one of that reader
     */
    public void mergeView(String readerId, View view) {
        lock.run(() -> viewsByReader.merge(
                readerId, view, (old, received) -> received.version() > old.version() ? received : old));
    }

    /**
     * Sets the current readers of the VM list. Views of former readers remain in effect until the view of at least one
     * current reader is known.
     *
     * @param readerIds the ids of the nodes
     */
    public void setReaders(Set<String> readerIds) {
        lock.run(() -> {
            readers = Set.copyOf(readerIds);
            if (readers.stream().anyMatch(viewsByReader::containsKey)) {
                viewsByReader.keySet().retainAll(readers);
            }
        });
    }

    /**
     * Records whether an upstream accepts connections.
     *
     * @param name the name of the upstream
     * @param accepts whether the last connection attempt succeeded
     * @return whether this is a change
     */
    public boolean recordConnectionResult(String name, boolean accepts) {
        return lock.call(() -> set(refusing, name, !accepts));
    }

    /**
     * Records whether an upstream announces that it is leaving.
     *
     * @param name the name of the upstream
     * @param leaves whether the upstream announces that it is leaving
     * @return whether this is a change
     */
    public boolean recordAnnouncement(String name, boolean leaves) {
        return lock.call(() -> set(announced, name, leaves));
    }

    private static boolean set(Set<String> names, String name, boolean present) {
        return present ? names.add(name) : names.remove(name);
    }

    /**
     * Returns the upstreams that get no new work.
     *
     * @return the names of the upstreams
     */
    public Set<String> names() {
        return lock.call(() -> {
            Set<String> names = new TreeSet<>(refusing);
            names.addAll(announced);
            viewsByReader.values().forEach(view -> names.addAll(view.names()));
            return names;
        });
    }
}
