package io.lagoonseam.bench.load;

import io.lagoonseam.bench.traffic.ClassReport;
import io.lagoonseam.bench.traffic.TrafficReport;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes the report of a load run: a table, a percentile distribution for each request class, and plots. */
public final class LoadReportWriter {

    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 500;
    private static final int TICKS_PER_HALF_DISTANCE = 5;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double[] PERCENTILES = {10, 25, 50, 75, 90, 95, 99, 99.9, 100};

    private final Path folder;

    /**
     * Creates a writer.
     *
     * @param folder the folder for the files, created if it does not exist
     */
    public LoadReportWriter(Path folder) {
        this.folder = folder;
    }

    /**
     * Writes the report.
     *
     * @param report the report of all requests
     * @param samples the cumulative totals, sampled each second, in chronological order
     * @throws IOException if a file cannot be written
     */
    public void write(TrafficReport report, List<ProgressSample> samples) throws IOException {
        Files.createDirectories(folder);
        for (Map.Entry<String, ClassReport> entry : report.classes().entrySet()) {
            writeDistribution(entry.getKey(), entry.getValue().firstTokenHistogram());
        }
        BitmapEncoder.saveBitmap(percentileChart(report), filePath("first-token.png"), BitmapEncoder.BitmapFormat.PNG);
        BitmapEncoder.saveBitmap(throughputChart(samples), filePath("throughput.png"), BitmapEncoder.BitmapFormat.PNG);
        Files.writeString(folder.resolve("report.md"), markdown(report));
    }

    private String filePath(String file) {
        return folder.resolve(file).toString();
    }

    private void writeDistribution(String className, Histogram histogram) throws IOException {
        Path file = folder.resolve(className + "-first-token.hgrm");
        try (PrintStream stream = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8)) {
            histogram.outputPercentileDistribution(stream, TICKS_PER_HALF_DISTANCE, 1.0);
        }
    }

    private static XYChart percentileChart(TrafficReport report) {
        XYChart chart = chart("Time to the first token by percentile", "percentile", "milliseconds");
        report.classes().forEach((name, classReport) -> {
            double[] values = new double[PERCENTILES.length];
            for (int index = 0; index < PERCENTILES.length; index++) {
                values[index] = classReport.firstTokenMillis(PERCENTILES[index]);
            }
            chart.addSeries(name, PERCENTILES, values);
        });
        return chart;
    }

    private static XYChart throughputChart(List<ProgressSample> samples) {
        XYChart chart = chart("Throughput", "seconds", "per second");
        List<Double> seconds = new ArrayList<>(List.of(0.0));
        List<Double> sent = new ArrayList<>(List.of(0.0));
        List<Double> ended = new ArrayList<>(List.of(0.0));
        ProgressSample previous = new ProgressSample(0, 0, 0, 0);
        for (ProgressSample sample : samples) {
            double spanSeconds = (sample.elapsedMillis() - previous.elapsedMillis()) / MILLIS_PER_SECOND;
            seconds.add(sample.elapsedMillis() / MILLIS_PER_SECOND);
            sent.add((sample.requests() - previous.requests()) / spanSeconds);
            ended.add((sample.ended() - previous.ended()) / spanSeconds);
            previous = sample;
        }
        chart.addSeries("requests sent", seconds, sent);
        chart.addSeries("requests ended", seconds, ended);
        return chart;
    }

    private static XYChart chart(String title, String xAxisTitle, String yAxisTitle) {
        return new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(title)
                .xAxisTitle(xAxisTitle)
                .yAxisTitle(yAxisTitle)
                .build();
    }

    private static String markdown(TrafficReport report) {
        return "# Load run\n\nTimes count from the intended arrival of each request.\n\n```\n" + report.table()
                + "```\n\n![first token](first-token.png)\n\n![throughput](throughput.png)\n";
    }
}
