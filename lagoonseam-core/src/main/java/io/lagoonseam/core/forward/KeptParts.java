package io.lagoonseam.core.forward;

import java.util.LinkedHashMap;
import java.util.Map;

/** The shared prompt parts that a worker has read lately, as far as this node and its peers have seen. */
public final class KeptParts {

    /**
     * How long a part is believed to be kept after its last use, in milliseconds: some rounds through all subjects of
     * the deployments that are known, whose workers' memories hold them all.
     */
    private static final long KEPT_MILLIS = 30_000;

    /** The most parts that are remembered for one worker: more than its memory holds. */
    private static final int MOST = 4_096;

    private final Map<Long, Long> usedMillis = new LinkedHashMap<>(16, 0.75F, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MOST;
        }
    };

    private long assumedUntilMillis = Long.MIN_VALUE;

    /**
     * Believes that each part is kept, for a while: a node that starts again knows nothing of what the workers have
     * read, and reckoning with whole prompts would send requests away from the workers that do keep their parts.
     *
     * @param untilMillis until when
     */
    public void assumeAll(long untilMillis) {
        assumedUntilMillis = untilMillis;
    }

    /**
     * Notes the use of a part.
     *
     * @param affinity the hash of the part
     * @param nowMillis the time
     */
    public void used(long affinity, long nowMillis) {
        usedMillis.put(affinity, nowMillis);
    }

    /**
     * Returns whether a part is believed to be kept.
     *
     * @param affinity the hash of the part
     * @param nowMillis the time
     * @return false if it was never used here or long ago, and is not assumed to be kept
     */
    public boolean keeps(long affinity, long nowMillis) {
        if (nowMillis < assumedUntilMillis) {
            return true;
        }
        Long used = usedMillis.get(affinity);
        return used != null && nowMillis - used <= KEPT_MILLIS;
    }
}
