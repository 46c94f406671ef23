package io.lagoonseam.cli;

import java.nio.file.Path;

/** Where the program's folder is, with its examples. */
public final class ProgramHome {

    private static final String PROPERTY = "lagoonseam.home";

    private ProgramHome() {}

    /**
     * Returns the folder.
     *
     * @return the folder that the launcher named, or the current one
     */
    public static Path path() {
        return Path.of(System.getProperty(PROPERTY, "."));
    }
}
