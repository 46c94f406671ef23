package io.lagoonseam.core.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import io.lagoonseam.core.hash.Rendezvous;

/**
 * Leading blocks of a prompt, identified by the block ids that model engines use in cache events. A block id is a hash
 * of the prompt from its start to the end of the block. Immutable.
 */
public final class PromptPrefix {

    /** The prefix of a prompt that is shorter than one block. */
    public static final PromptPrefix EMPTY = new PromptPrefix(new int[0], 0);

    /** Number of characters in one block. */
    public static final int BLOCK_CHARS = 64;

    private static final int MAX_BLOCKS = 256;
    /** Number of leading blocks that determine the affinity to a worker. */
    private static final int AFFINITY_BLOCKS = 2;

    private static final int HASH_BASE = 31;

    private final int[] blockIds;
    private final long affinityHash;

    private PromptPrefix(int[] blockIds, long affinityHash) {
        this.blockIds = blockIds;
        this.affinityHash = affinityHash;
    }

    /**
     * Splits a prompt into blocks of {@link #BLOCK_CHARS} characters.
     *
     * @param prompt the text of the prompt
     * @return the leading complete blocks, at most 256
     */
    public static PromptPrefix of(String prompt) {
        int blocks = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARS);
        if (blocks == 0) {
            return EMPTY;
        }
        int[] ids = new int[blocks];
        int hash = 0;
        for (int index = 0; index < blocks * BLOCK_CHARS; index++) {
            hash = HASH_BASE * hash + prompt.charAt(index);
            if ((index + 1) % BLOCK_CHARS == 0) {
                ids[index / BLOCK_CHARS] = hash;
            }
        }
        int leadingChars = Math.min(AFFINITY_BLOCKS, blocks) * BLOCK_CHARS;
        return new PromptPrefix(ids, Hashing.wyhashFinal4().hashCharsToLong(prompt.substring(0, leadingChars)));
    }

    /**
     * Returns the number of blocks.
     *
     * @return the number of complete blocks
     */
    public int blocks() {
        return blockIds.length;
    }

    int blockId(int index) {
        return blockIds[index];
    }

    /**
     * Returns the affinity of the prefix to a worker, by rendezvous hashing of the first two blocks.
     *
     * @param workerHash the hash of the worker's name
     * @return the affinity; the worker with the highest value is preferred
     */
    long affinity(long workerHash) {
        return Rendezvous.mix(affinityHash, workerHash);
    }
}
