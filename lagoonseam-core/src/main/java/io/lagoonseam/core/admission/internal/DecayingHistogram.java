package io.lagoonseam.core.admission.internal;

/** A histogram of lengths with exponential decay by sample count. Bucket bounds grow by a constant ratio. */
final class DecayingHistogram {

    private static final int BUCKETS = 40;
    private static final double BUCKETS_PER_DOUBLING = 2;

    /** Number of later samples after which the weight of a sample has halved. */
    private static final double HALF_LIFE_SAMPLES = 200;

    /** Ratio of the weight of each sample to that of the sample before it; older samples thus decay. */
    private static final double SAMPLE_WEIGHT_GROWTH = Math.pow(2, 1 / HALF_LIFE_SAMPLES);
    /** Sample weight above which all weights are rescaled, so that they do not overflow. */
    private static final double RESCALE_ABOVE = 1e100;

    private final double[] weights = new double[BUCKETS];
    private final double[] sums = new double[BUCKETS];
    private double sampleWeight = 1;
    private double totalWeight;

    void record(double length) {
        int bucket = bucket(length);
        weights[bucket] += sampleWeight;
        sums[bucket] += sampleWeight * length;
        totalWeight += sampleWeight;
        sampleWeight *= SAMPLE_WEIGHT_GROWTH;
        if (sampleWeight > RESCALE_ABOVE) {
            rescale();
        }
    }

    private void rescale() {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            weights[bucket] /= sampleWeight;
            sums[bucket] /= sampleWeight;
        }
        totalWeight /= sampleWeight;
        sampleWeight = 1;
    }

    private static int bucket(double length) {
        double position = BUCKETS_PER_DOUBLING * Math.log(Math.max(1, length)) / Math.log(2);
        return Math.min(BUCKETS - 1, (int) position);
    }

    private static double upperBound(int bucket) {
        return Math.pow(2, (bucket + 1) / BUCKETS_PER_DOUBLING);
    }

    /** Returns the number of samples, each weighted by its decay. */
    double effectiveSamples() {
        return totalWeight / sampleWeight;
    }

    double mean() {
        return meanAbove(0);
    }

    /** Returns the mean of the lengths in buckets above that of the bound, or the bound itself if there are none. */
    double meanAbove(double bound) {
        double weight = 0;
        double sum = 0;
        for (int bucket = bound <= 0 ? 0 : bucket(bound) + 1; bucket < BUCKETS; bucket++) {
            weight += weights[bucket];
            sum += sums[bucket];
        }
        return weight == 0 ? bound : sum / weight;
    }

    double quantile(double probability) {
        double targetWeight = probability * totalWeight;
        double cumulativeWeight = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            cumulativeWeight += weights[bucket];
            if (cumulativeWeight >= targetWeight && weights[bucket] > 0) {
                return Math.min(upperBound(bucket), sums[bucket] / weights[bucket]);
            }
        }
        return 0;
    }
}
