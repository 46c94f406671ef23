package io.lagoonseam.cli;

import io.lagoonseam.bench.load.LoadReportWriter;
import io.lagoonseam.bench.load.LoadRun;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.bench.traffic.TrafficReport;
import io.lagoonseam.cli.config.CheckedFolder;
import io.lagoonseam.core.configuration.FileSet;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Sends open-loop traffic to entry nodes in other processes and writes a report. */
final class LoadCommand implements Command {

    private static final long MILLIS_PER_SECOND = 1_000;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "Send a profile's open-loop traffic, check every answer, and write a report with plots";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.required("target", "URL,…", "The entry nodes, each http://IP:PORT"))
                .addOption(CommandOptions.required("profile", "FILE", "The YAML file with the traffic profile"))
                .addOption(CommandOptions.of("files", "DIR", "The file set in force (default: the profile's example)"))
                .addOption(CommandOptions.of(
                        "seconds", "S", "The duration of the traffic in seconds (default: the profile's)"))
                .addOption(CommandOptions.of("out", "DIR", "The output folder (default out/load)"))
                .addOption(CommandOptions.seed());
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        Path profileFile = Path.of(line.getOptionValue("profile")).toAbsolutePath();
        TrafficProfile profile = TrafficProfile.read(profileFile);
        long seconds = CommandOptions.number(line, "seconds", 0);
        if (seconds > 0) {
            profile = new TrafficProfile(seconds * MILLIS_PER_SECOND, profile.classes());
        }
        String files =
                line.getOptionValue("files", profileFile.getParent().getParent().toString());
        Optional<FileSet> fileSet = CheckedFolder.read(Path.of(files), err).map(CheckedFolder::fileSet);
        if (fileSet.isEmpty()) {
            return ExitCode.FAILURE;
        }
        List<String> targets = List.of(line.getOptionValue("target").split(","));
        LoadRun run = new LoadRun(targets, fileSet.get(), profile, out);
        TrafficReport report = run.run(CommandOptions.seed(line));
        Path folder = Path.of(line.getOptionValue("out", "out/load"));
        new LoadReportWriter(folder).write(report, run.samples());
        out.print(report.table());
        out.println("report in " + folder);
        return report.wrongAnswers() == 0 ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
