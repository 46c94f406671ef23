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
 * The upstreams that get no new work, put together from every source: the VM list as this node or the readers of the
 * data centre see it, refused connections, and what upstreams announce themselves. One sign from one source is enough.
 */
public final class LeavingUpstreams {

    private static final double BELIEVED_LOSS_SHARE = 0.5;

    private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);
    private final Map<String, View> viewsByReader = new HashMap<>();
    private final Set<String> refusing = new HashSet<>();
    private final Set<String> announced = new HashSet<>();
    private final Set<String> listed = new HashSet<>();
    private Set<String> readers = Set.of();

    /**
     * What one reader of the VM list knows.
     *
     * @param version rises with each change at that reader
     * @param names the upstreams that are leaving or have vanished
     */
    public record View(long version, Set<String> names) {

        /** Copies the names. */
        public View {
            names = Set.copyOf(names);
        }
    }

    /**
     * Takes in the VM list as this node read it.
     *
     * @param readerId the name of this node
     * @param vms the list
     * @param upstreams the names of the configured upstreams
     * @param firstVersion the version to begin with, higher than those of earlier processes of this node
     * @return the view to tell others
     */
    public View read(String readerId, List<VmEntry> vms, Set<String> upstreams, long firstVersion) {
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

    /** Upstreams that were listed and are not any more; a list that has lost most of them at once is not believed. */
    private Set<String> vanished(Set<String> present, Set<String> upstreams) {
        listed.addAll(present);
        listed.retainAll(upstreams);
        Set<String> missing = new TreeSet<>(listed);
        missing.removeAll(present);
        return missing.size() > listed.size() * BELIEVED_LOSS_SHARE ? Set.of() : missing;
    }

    /**
     * Takes in the view of another reader.
     *
     * @param readerId the node that read the VM list
     * @param view what it told; an older one than before changes nothing
     */
    public void heard(String readerId, View view) {
        lock.run(() -> viewsByReader.merge(readerId, view, (old, told) -> told.version() > old.version() ? told : old));
    }

    /**
     * Sets who reads the VM list now. Views of former readers count until one of the present readers has told its own.
     *
     * @param readerIds the names of the nodes
     */
    public void readers(Set<String> readerIds) {
        lock.run(() -> {
            readers = Set.copyOf(readerIds);
            if (readers.stream().anyMatch(viewsByReader::containsKey)) {
                viewsByReader.keySet().retainAll(readers);
            }
        });
    }

    /**
     * Takes in whether an upstream accepts connections.
     *
     * @param name the upstream
     * @param accepts whether the last connection was made
     * @return whether this is news
     */
    public boolean connected(String name, boolean accepts) {
        return lock.call(() -> set(refusing, name, !accepts));
    }

    /**
     * Takes in what an upstream says of itself.
     *
     * @param name the upstream
     * @param leaves whether it announces that it leaves
     * @return whether this is news
     */
    public boolean announced(String name, boolean leaves) {
        return lock.call(() -> set(announced, name, leaves));
    }

    private static boolean set(Set<String> names, String name, boolean present) {
        return present ? names.add(name) : names.remove(name);
    }

    /**
     * Returns the upstreams that get no new work.
     *
     * @return their names
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
