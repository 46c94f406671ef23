package io.lagoonseam.core.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import io.lagoonseam.core.hash.Rendezvous;

/** The leading blocks of a prompt, by the ids that engines give them in cache events. */
public final class PromptPrefix {

    /** A prompt without a whole block. */
    public static final PromptPrefix EMPTY = new PromptPrefix(new int[0], 0);

    /** The characters of one block. */
    public static final int BLOCK_CHARS = 64;

    private static final int MAX_BLOCKS = 256;
    private static final int AFFINITY_BLOCKS = 2;
    private static final int HASH_BASE = 31;

    private final int[] blockIds;
    private final long affinityHash;

    private PromptPrefix(int[] blockIds, long affinityHash) {
        this.blockIds = blockIds;
        this.affinityHash = affinityHash;
    }

    /**
     * Splits a prompt.
     *
     * @param prompt its text
     * @return its leading whole blocks
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
     * @return whole blocks
     */
    public int blocks() {
        return blockIds.length;
    }

    int blockId(int index) {
        return blockIds[index];
    }

    /**
     * Returns how strongly the prefix belongs to a worker by rendezvous hashing.
     *
     * @param workerHash the hash of the worker's name
     * @return the worker with the highest value is preferred
     */
    long rank(long workerHash) {
        return Rendezvous.mix(affinityHash, workerHash);
    }
}
