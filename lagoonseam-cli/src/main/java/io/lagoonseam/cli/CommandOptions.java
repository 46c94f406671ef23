package io.lagoonseam.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Creates and reads command line options and arguments. */
public final class CommandOptions {

    private static final long DEFAULT_SEED = 1;

    private CommandOptions() {}

    /**
     * Creates an optional option that takes a value.
     *
     * @param name the long name, without leading dashes
     * @param valueName the placeholder for the value in the help
     * @param description the text for the help
     * @return the option
     */
    public static Option of(String name, String valueName, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(valueName)
                .desc(description)
                .get();
    }

    /**
     * Creates a mandatory option that takes a value.
     *
     * @param name the long name, without leading dashes
     * @param valueName the placeholder for the value in the help
     * @param description the text for the help
     * @return the option
     */
    public static Option required(String name, String valueName, String description) {
        Option option = of(name, valueName, description);
        option.setRequired(true);
        return option;
    }

    /**
     * Creates the option {@code --seed}.
     *
     * @return the option
     */
    public static Option seed() {
        return of("seed", "N", "The seed of all random choices (default 1)");
    }

    /**
     * Returns the value of {@code --seed}.
     *
     * @param line the parsed options
     * @return the seed, 1 if the option is absent
     * @throws UsageException if the value is not a whole number
     */
    public static long seed(CommandLine line) throws UsageException {
        return number(line, "seed", DEFAULT_SEED);
    }

    /**
     * Returns the value of an option as a whole number.
     *
     * @param line the parsed options
     * @param name the long name of the option
     * @param fallback the value to return if the option is absent
     * @return the number
     * @throws UsageException if the value is not a whole number
     */
    public static long number(CommandLine line, String name, long fallback) throws UsageException {
        String text = line.getOptionValue(name);
        if (text == null) {
            return fallback;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            UsageException failure =
                    new UsageException("--" + name + " must be a whole number, but was '" + text + "'");
            failure.initCause(e);
            throw failure;
        }
    }

    /**
     * Returns the single positional argument.
     *
     * @param line the parsed options and arguments
     * @param description the name of the argument for the error message
     * @return the argument
     * @throws UsageException if there are no or several arguments
     */
    public static String singleArgument(CommandLine line, String description) throws UsageException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("expected exactly one argument: " + description);
        }
        return line.getArgList().get(0);
    }
}
