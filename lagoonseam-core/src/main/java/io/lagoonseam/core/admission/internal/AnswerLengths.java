package io.lagoonseam.core.admission.internal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Distributions of answer lengths for classes and, as far as a bounded number goes, for workspaces within them. */
public final class AnswerLengths {

    private static final double DEFAULT_TOKENS = 32;
    private static final int WORKSPACE_LIMIT = 2_000;

    /** The samples at which a workspace's own lengths weigh as much as its class's. */
    private static final double PRIOR_SAMPLES = 8;

    private final Map<String, DecayingHistogram> classes = new HashMap<>();
    private final Map<WorkspaceKey, DecayingHistogram> workspaces = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkspaceKey, DecayingHistogram> eldest) {
            return size() > WORKSPACE_LIMIT;
        }
    };

    private record WorkspaceKey(String className, String workspace) {}

    /**
     * Learns from an answer.
     *
     * @param className its class
     * @param workspace its workspace
     * @param tokens its length
     */
    public void record(String className, String workspace, double tokens) {
        classes.computeIfAbsent(className, name -> new DecayingHistogram()).record(tokens);
        workspaces
                .computeIfAbsent(new WorkspaceKey(className, workspace), key -> new DecayingHistogram())
                .record(tokens);
    }

    /**
     * Estimates the whole length of an answer.
     *
     * @param className its class
     * @param workspace its workspace
     * @param tokensSoFar the tokens that have come
     * @return tokens
     */
    public double expected(String className, String workspace, int tokensSoFar) {
        DecayingHistogram ofClass = classes.get(className);
        if (ofClass == null) {
            return DEFAULT_TOKENS;
        }
        double classMean = ofClass.meanAbove(tokensSoFar);
        DecayingHistogram own = workspaces.get(new WorkspaceKey(className, workspace));
        if (own == null) {
            return classMean;
        }
        double ownShare = own.effectiveSamples() / (own.effectiveSamples() + PRIOR_SAMPLES);
        return ownShare * own.meanAbove(tokensSoFar) + (1 - ownShare) * classMean;
    }

    /**
     * Returns a quantile of the lengths of a class.
     *
     * @param className the class
     * @param share from 0 to 1
     * @return tokens, 0 before the first answer
     */
    public double quantile(String className, double share) {
        DecayingHistogram ofClass = classes.get(className);
        return ofClass == null ? 0 : ofClass.quantile(share);
    }
}
