package io.lagoonseam.core.hash;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hashing. Each pair of a role and an item has a rank, and the items of the highest ranks are selected. The
 * rank of a pair does not depend on which other items are added or removed.
 */
public final class Rendezvous {

    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private Rendezvous() {}

    /**
     * Returns the 64-bit hash of a name.
     *
     * @param name the name
     * @return the hash, the same on all nodes
     */
    public static long hash(String name) {
        return Hashing.wyhashFinal4().hashCharsToLong(name);
    }

    /**
     * Mixes two hashes into the rank of their pair.
     *
     * @param first the hash of the first element
     * @param second the hash of the second element
     * @return the rank
     */
    public static long mix(long first, long second) {
        long mixed = first ^ Long.rotateLeft(second, 32) ^ second;
        mixed = (mixed ^ mixed >>> 30) * MIX_1;
        mixed = (mixed ^ mixed >>> 27) * MIX_2;
        return mixed ^ mixed >>> 31;
    }

    /**
     * Sorts items by descending rank for a role; equal ranks are sorted by name.
     *
     * @param role the name of the role for which the items are ranked
     * @param items the items
     * @param name returns the name of an item
     * @param <T> the type of the items
     * @return all items, sorted
     */
    public static <T> List<T> sortByRank(String role, Collection<T> items, Function<T, String> name) {
        long roleHash = hash(role);
        Comparator<T> byRank = Comparator.comparingLong((T item) -> mix(roleHash, hash(name.apply(item))))
                .reversed();
        return items.stream().sorted(byRank.thenComparing(name)).toList();
    }

    /**
     * Selects the items with the highest ranks for an owner.
     *
     * @param owner the name of the owner of the subset
     * @param items the items to select from
     * @param name returns the name of an item
     * @param size the maximum number of items to select
     * @param <T> the type of the items
     * @return the selected items by descending rank; all items in their original order if there are no more than
     *     {@code size}
     */
    public static <T> List<T> subset(String owner, Collection<T> items, Function<T, String> name, int size) {
        if (items.size() <= size) {
            return List.copyOf(items);
        }
        return sortByRank(owner, items, name).subList(0, size);
    }
}
