package io.lagoonseam.cli.config;

import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.entry.configuration.FileSetReader;
import io.lagoonseam.entry.configuration.SourceFile;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * A folder whose file set has no fault.
 *
 * @param files its files
 * @param fileSet what they say
 */
public record CheckedFolder(List<SourceFile> files, FileSet fileSet) {

    /**
     * Reads a folder and prints every fault.
     *
     * @param folder the folder
     * @param err where the faults go
     * @return the folder's files and what they say, or empty if there was any fault
     */
    public static Optional<CheckedFolder> read(Path folder, PrintStream err) {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        List<SourceFile> files = FileSetReader.readFolder(folder, reporter);
        Optional<FileSet> fileSet = new FileSetReader().read(files, reporter);
        reporter.errors().forEach(err::println);
        return fileSet.map(content -> new CheckedFolder(files, content));
    }
}
