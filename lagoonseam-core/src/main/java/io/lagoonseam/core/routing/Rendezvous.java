package io.lagoonseam.core.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Rendezvous hashing: each pair has a rank, and the highest ranks win whatever else comes or goes. */
public final class Rendezvous {

    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private Rendezvous() {}

    static long hash(String name) {
        return Hashing.wyhashFinal4().hashCharsToLong(name);
    }

    static long mix(long first, long second) {
        long mixed = first ^ Long.rotateLeft(second, 32) ^ second;
        mixed = (mixed ^ mixed >>> 30) * MIX_1;
        mixed = (mixed ^ mixed >>> 27) * MIX_2;
        return mixed ^ mixed >>> 31;
    }

    /**
     * Chooses a stable subset.
     *
     * @param owner whose subset it is
     * @param items what to choose from
     * @param name the name of an item
     * @param size the most items to choose
     * @param <T> the type of the items
     * @return all items if they are no more than the size
     */
    public static <T> List<T> subset(String owner, Collection<T> items, Function<T, String> name, int size) {
        if (items.size() <= size) {
            return List.copyOf(items);
        }
        long ownerHash = hash(owner);
        return items.stream()
                .sorted(Comparator.comparingLong((T item) -> mix(ownerHash, hash(name.apply(item))))
                        .reversed())
                .limit(size)
                .toList();
    }
}
