package io.lagoonseam.core.admission.internal;

/** A distribution of lengths in which later ones weigh more. Buckets grow by a constant ratio. */
final class DecayingHistogram {

    private static final int BUCKETS = 40;
    private static final double BUCKETS_PER_DOUBLING = 2;

    /** The samples after which one counts half. */
    private static final double HALF_LIFE_SAMPLES = 200;

    private static final double GROWTH = Math.pow(2, 1 / HALF_LIFE_SAMPLES);
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
        sampleWeight *= GROWTH;
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
        double place = BUCKETS_PER_DOUBLING * Math.log(Math.max(1, length)) / Math.log(2);
        return Math.min(BUCKETS - 1, (int) place);
    }

    private static double upperBound(int bucket) {
        return Math.pow(2, (bucket + 1) / BUCKETS_PER_DOUBLING);
    }

    /** The number of samples, each counted by its age. */
    double effectiveSamples() {
        return totalWeight / sampleWeight;
    }

    double mean() {
        return meanAbove(0);
    }

    /** The mean of the lengths above a bound, or the bound itself if none was seen. */
    double meanAbove(double bound) {
        double weight = 0;
        double sum = 0;
        for (int bucket = bound <= 0 ? 0 : bucket(bound) + 1; bucket < BUCKETS; bucket++) {
            weight += weights[bucket];
            sum += sums[bucket];
        }
        return weight == 0 ? bound : sum / weight;
    }

    double quantile(double share) {
        double wanted = share * totalWeight;
        double seen = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            seen += weights[bucket];
            if (seen >= wanted && weights[bucket] > 0) {
                return Math.min(upperBound(bucket), sums[bucket] / weights[bucket]);
            }
        }
        return 0;
    }
}
