package io.lagoonseam.cli.config;

import io.lagoonseam.entry.configuration.Change;
import io.lagoonseam.entry.configuration.Manifest;
import java.io.PrintStream;
import java.time.Instant;

/** Prints accepted configuration changes with their differences. */
final class ChangePrinter {

    private ChangePrinter() {}

    static void print(Change change, PrintStream out) {
        printHeader(change.manifest(), out);
        change.differences().forEach(out::println);
    }

    static void printHeader(Manifest manifest, PrintStream out) {
        out.printf(
                "# generation %d by %s at %s: %s%n",
                manifest.generation(),
                manifest.author(),
                Instant.ofEpochMilli(manifest.appliedAtMillis()),
                manifest.reason());
    }
}
