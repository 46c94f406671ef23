package io.lagoonseam.cli;

import io.lagoonseam.cli.config.ConfigApplyCommand;
import io.lagoonseam.cli.config.ConfigCheckCommand;
import io.lagoonseam.cli.config.ConfigDiffCommand;
import io.lagoonseam.cli.config.ConfigHashKeyCommand;
import io.lagoonseam.cli.config.ConfigHistoryCommand;
import io.lagoonseam.cli.config.ConfigSchemaCommand;
import io.lagoonseam.cli.config.ConfigShowCommand;
import io.lagoonseam.cli.config.ConfigValidateCommand;
import io.lagoonseam.cli.config.ConfigWatchCommand;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Selects a {@link Command} by the first one or two arguments and runs it. */
public final class CommandLineProgram {

    private static final String PROGRAM = "lagoonseam";
    private static final List<Command> COMMANDS = List.of(
            new NodeCommand(),
            new EntryCommand(),
            new ConfigValidateCommand(),
            new ConfigApplyCommand(),
            new ConfigDiffCommand(),
            new ConfigCheckCommand(),
            new ConfigShowCommand(),
            new ConfigHistoryCommand(),
            new ConfigWatchCommand(),
            new ConfigHashKeyCommand(),
            new ConfigSchemaCommand(),
            new StandInCommand(),
            new LoadCommand(),
            new ExperimentCommand(),
            new NodeDemoCommand(),
            new DemoCommand(),
            new StatusCommand(),
            new ExplainCommand());

    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates a program.
     *
     * @param out the stream for results
     * @param err the stream for error messages
     */
    public CommandLineProgram(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the command that the first one or two arguments select.
     *
     * <p>Failures of the command are printed to the error stream and not thrown.
     *
     * @param arguments the command name, followed by its options and arguments
     * @return one of the codes of {@link ExitCode}
     */
    public int run(String[] arguments) {
        if (arguments.length == 0) {
            printCommands(err);
            return ExitCode.USAGE_ERROR;
        }
        if ("--version".equals(arguments[0])) {
            out.println(PROGRAM + " " + version());
            return ExitCode.SUCCESS;
        }
        if ("--help".equals(arguments[0]) || "-h".equals(arguments[0])) {
            printCommands(out);
            return ExitCode.SUCCESS;
        }
        Optional<Command> command = find(arguments);
        if (command.isEmpty()) {
            err.println(PROGRAM + ": '" + String.join(" ", arguments) + "' is not a command");
            printCommands(err);
            return ExitCode.USAGE_ERROR;
        }
        int wordCount = command.get().name().split(" ").length;
        return run(command.get(), Arrays.copyOfRange(arguments, wordCount, arguments.length));
    }

    private static Optional<Command> find(String[] arguments) {
        String oneWord = arguments[0];
        String twoWords = arguments.length > 1 ? oneWord + " " + arguments[1] : oneWord;
        return COMMANDS.stream()
                .filter(command ->
                        command.name().equals(oneWord) || command.name().equals(twoWords))
                .findFirst();
    }

    private static String version() {
        String version = CommandLineProgram.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    private static void printCommands(PrintStream stream) {
        stream.println("usage: " + PROGRAM + " COMMAND [OPTIONS]; " + PROGRAM + " COMMAND --help for details");
        for (Command command : COMMANDS) {
            stream.printf("  %-18s %s%n", command.name(), command.summary());
        }
        stream.printf("  %-18s %s%n", "--version", "Print the version");
    }

    private int run(Command command, String[] arguments) {
        Options options = command.options();
        options.addOption(
                Option.builder("h").longOpt("help").desc("Print this help").get());
        try {
            if (isHelpRequested(arguments)) {
                printHelp(command, options);
                return ExitCode.SUCCESS;
            }
            CommandLine line = new DefaultParser().parse(options, arguments);
            return command.run(line, out, err);
        } catch (ParseException | UsageException e) {
            err.println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return ExitCode.USAGE_ERROR;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILURE;
        } catch (Exception e) {
            err.println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return ExitCode.FAILURE;
        }
    }

    private static boolean isHelpRequested(String[] arguments) {
        return Arrays.asList(arguments).contains("--help")
                || Arrays.asList(arguments).contains("-h");
    }

    private void printHelp(Command command, Options options) throws IOException {
        PrintWriter writer = new PrintWriter(out, true);
        HelpFormatter formatter = HelpFormatter.builder()
                .setHelpAppendable(new TextHelpAppendable(writer))
                .setShowSince(false)
                .get();
        String syntax = PROGRAM + " " + command.name() + " " + command.arguments();
        formatter.printHelp(syntax.trim(), command.summary(), options, "", true);
        writer.flush();
    }
}
