package io.lagoonseam.cli;

import java.nio.file.Path;

/** Locates the installation folder of the program, which contains the examples. */
public final class ProgramHome {

    private static final String PROPERTY = "lagoonseam.home";

    private ProgramHome() {}

    /**
     * Returns the installation folder.
     *
     * @return the folder that the launcher passes in the system property {@code lagoonseam.home}, or the current folder
     *     if the property is not set
     */
    public static Path path() {
        return Path.of(System.getProperty(PROPERTY, "."));
    }
}
