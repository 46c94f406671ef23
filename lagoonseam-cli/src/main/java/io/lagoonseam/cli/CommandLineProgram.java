package io.lagoonseam.cli;

import io.lagoonseam.cli.config.ConfigApplyCommand;
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

/** Finds the command that the arguments name and runs it. */
public final class CommandLineProgram {

    private static final String PROGRAM = "lagoonseam";
    private static final List<Command> COMMANDS = List.of(
            new NodeCommand(),
            new EntryCommand(),
            new ConfigValidateCommand(),
            new ConfigApplyCommand(),
            new ConfigDiffCommand(),
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
     * @param out the standard output
     * @param err the standard error
     */
    public CommandLineProgram(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param arguments the command and its arguments
     * @return the exit code
     */
    public int run(String[] arguments) {
        if (arguments.length == 0) {
            printCommands(err);
            return ExitCode.WRONG_USE;
        }
        if ("--version".equals(arguments[0])) {
            out.println(PROGRAM + " " + version());
            return ExitCode.DONE;
        }
        if ("--help".equals(arguments[0]) || "-h".equals(arguments[0])) {
            printCommands(out);
            return ExitCode.DONE;
        }
        Optional<Command> command = find(arguments);
        if (command.isEmpty()) {
            err.println(PROGRAM + ": '" + String.join(" ", arguments) + "' is not a command");
            printCommands(err);
            return ExitCode.WRONG_USE;
        }
        int words = command.get().name().split(" ").length;
        return run(command.get(), Arrays.copyOfRange(arguments, words, arguments.length));
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
        stream.println("usage: " + PROGRAM + " COMMAND [OPTIONS]; " + PROGRAM + " COMMAND --help tells more");
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
            if (asksForHelp(arguments)) {
                printHelp(command, options);
                return ExitCode.DONE;
            }
            CommandLine line = new DefaultParser().parse(options, arguments);
            return command.run(line, out, err);
        } catch (ParseException | UsageException e) {
            err.println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return ExitCode.WRONG_USE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        } catch (Exception e) {
            err.println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static boolean asksForHelp(String[] arguments) {
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
