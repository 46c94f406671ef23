package io.lagoonseam.core.hash;

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

    /**
     * Hashes a name.
     *
     * @param name the name
     * @return its hash
     */
    public static long hash(String name) {
        return Hashing.wyhashFinal4().hashCharsToLong(name);
    }

    /**
     * Mixes two hashes into the rank of their pair.
     *
     * @param first the hash of one
     * @param second the hash of the other
     * @return the rank
     */
    public static long mix(long first, long second) {
        long mixed = first ^ Long.rotateLeft(second, 32) ^ second;
        mixed = (mixed ^ mixed >>> 30) * MIX_1;
        mixed = (mixed ^ mixed >>> 27) * MIX_2;
        return mixed ^ mixed >>> 31;
    }

    /**
     * Orders items by their rank for a role, the highest first and equal ranks by name.
     *
     * @param role what the items are ranked for
     * @param items the items
     * @param name the name of an item
     * @param <T> the type of the items
     * @return all items
     */
    public static <T> List<T> order(String role, Collection<T> items, Function<T, String> name) {
        long roleHash = hash(role);
        Comparator<T> byRank = Comparator.comparingLong((T item) -> mix(roleHash, hash(name.apply(item))))
                .reversed();
        return items.stream().sorted(byRank.thenComparing(name)).toList();
    }

    /**
     * Chooses a stable subset.
     *
     * @param owner whose subset it is
     * @param items what to choose from
     * @param name the name of an item
     * @param size the most items to choose
     * @param <T> the type of the items
     * @return the items of the highest ranks, the highest first; all items in their own order if they are no more than
     *     the size
     */
    public static <T> List<T> subset(String owner, Collection<T> items, Function<T, String> name, int size) {
        if (items.size() <= size) {
            return List.copyOf(items);
        }
        return order(owner, items, name).subList(0, size);
    }
}
