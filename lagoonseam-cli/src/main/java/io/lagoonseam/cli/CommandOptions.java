package io.lagoonseam.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Options that several commands share. */
public final class CommandOptions {

    private static final long DEFAULT_SEED = 1;

    private CommandOptions() {}

    /**
     * Creates an option with a value.
     *
     * @param name its long name
     * @param value what stands for the value in the help
     * @param description what it does
     * @return the option
     */
    public static Option of(String name, String value, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(value)
                .desc(description)
                .get();
    }

    /**
     * Creates an option that must be given.
     *
     * @param name its long name
     * @param value what stands for the value in the help
     * @param description what it does
     * @return the option
     */
    public static Option required(String name, String value, String description) {
        Option option = of(name, value, description);
        option.setRequired(true);
        return option;
    }

    /**
     * Creates the option of the seed.
     *
     * @return the option
     */
    public static Option seed() {
        return of("seed", "N", "The seed of all random choices (default 1)");
    }

    /**
     * Reads the seed.
     *
     * @param line the parsed options
     * @return the seed
     * @throws UsageException if it is not a number
     */
    public static long seed(CommandLine line) throws UsageException {
        return number(line, "seed", DEFAULT_SEED);
    }

    /**
     * Reads a whole number.
     *
     * @param line the parsed options
     * @param name the long name of the option
     * @param fallback the value when the option is absent
     * @return the number
     * @throws UsageException if it is not a number
     */
    public static long number(CommandLine line, String name, long fallback) throws UsageException {
        String text = line.getOptionValue(name);
        if (text == null) {
            return fallback;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            UsageException failure = new UsageException("--" + name + " needs a whole number, not '" + text + "'");
            failure.initCause(e);
            throw failure;
        }
    }

    /**
     * Reads the only argument.
     *
     * @param line the parsed options and arguments
     * @param what what the argument is
     * @return the argument
     * @throws UsageException unless there is exactly one
     */
    public static String onlyArgument(CommandLine line, String what) throws UsageException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("needs exactly one argument: " + what);
        }
        return line.getArgList().get(0);
    }
}
