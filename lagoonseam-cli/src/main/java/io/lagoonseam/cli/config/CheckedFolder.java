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
 * Holds the files of a folder whose file set passed validation.
 *
 * @param files the files of the folder
 * @param fileSet the file set parsed from the files
 */
public record CheckedFolder(List<SourceFile> files, FileSet fileSet) {

    /**
     * Reads and validates a folder and prints every error.
     *
     * @param folder the folder to read
     * @param err the stream for the errors, one a line
     * @return the files and their file set, or empty if there was any error
     */
    public static Optional<CheckedFolder> read(Path folder, PrintStream err) {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        List<SourceFile> files = FileSetReader.readFolder(folder, reporter);
        Optional<FileSet> fileSet = new FileSetReader().read(files, reporter);
        reporter.errors().forEach(err::println);
        return fileSet.map(valid -> new CheckedFolder(files, valid));
    }
}
