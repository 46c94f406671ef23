package io.lagoonseam.core.admission.internal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Distributions of answer lengths for each class and for the 2,000 most recently used pairs of class and workspace. */
public final class AnswerLengths {

    private static final double DEFAULT_TOKENS = 32;
    private static final int MAX_CLASS_WORKSPACES = 2_000;

    /** Number of samples at which the lengths of a workspace have the same weight as those of its class. */
    private static final double PRIOR_SAMPLES = 8;

    private final Map<String, DecayingHistogram> classes = new HashMap<>();
    private final Map<WorkspaceKey, DecayingHistogram> workspaces = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkspaceKey, DecayingHistogram> eldest) {
            return size() > MAX_CLASS_WORKSPACES;
        }
    };

    private record WorkspaceKey(String className, String workspace) {}

    /**
     * Records the length of a completed answer.
     *
     * @param className the name of its request class
     * @param workspace the name of its workspace
     * @param tokens its length in tokens
     */
    public void record(String className, String workspace, double tokens) {
        classes.computeIfAbsent(className, name -> new DecayingHistogram()).record(tokens);
        workspaces
                .computeIfAbsent(new WorkspaceKey(className, workspace), key -> new DecayingHistogram())
                .record(tokens);
    }

    /**
     * Estimates the total length of an answer.
     *
     * @param className the name of its request class
     * @param workspace the name of its workspace
     * @param tokensSoFar the number of tokens received so far
     * @return the expected number of tokens; a default of 32 before the first answer of the class
     */
    public double expected(String className, String workspace, int tokensSoFar) {
        DecayingHistogram classLengths = classes.get(className);
        if (classLengths == null) {
            return DEFAULT_TOKENS;
        }
        double classMean = classLengths.meanAbove(tokensSoFar);
        DecayingHistogram workspaceLengths = workspaces.get(new WorkspaceKey(className, workspace));
        if (workspaceLengths == null) {
            return classMean;
        }
        double workspaceShare =
                workspaceLengths.effectiveSamples() / (workspaceLengths.effectiveSamples() + PRIOR_SAMPLES);
        return workspaceShare * workspaceLengths.meanAbove(tokensSoFar) + (1 - workspaceShare) * classMean;
    }

    /**
     * Returns a quantile of the answer lengths of a class.
     *
     * @param className the name of the request class
     * @param probability the probability of the quantile, from 0 to 1
     * @return the length in tokens, 0 before the first answer of the class
     */
    public double quantile(String className, double probability) {
        DecayingHistogram classLengths = classes.get(className);
        return classLengths == null ? 0 : classLengths.quantile(probability);
    }
}
