package io.lagoonseam.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Reads back what a node decided about a request. */
final class ExplainCommand implements Command {

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST_ID";
    }

    @Override
    public String summary() {
        return "Print the way of a request: from the node that served it, or from the logs of several nodes";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.of("node", "URL", "The node's operators' address, http://IP:PORT"))
                .addOption(
                        CommandOptions.of("logs", "FILES", "Logs of nodes, separated by commas; - is standard input"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        String id = CommandOptions.onlyArgument(line, arguments());
        if (line.hasOption("logs")) {
            return new LogExplainer(id).explain(line.getOptionValue("logs"), System.in, out)
                    ? ExitCode.DONE
                    : ExitCode.FAILED;
        }
        if (!line.hasOption("node")) {
            throw new UsageException("needs --node or --logs");
        }
        JsonObject body = new JsonObject(HttpReader.read(line.getOptionValue("node") + "/requests/" + id));
        if (body.containsKey("error")) {
            err.println(body.getString("error"));
            return ExitCode.FAILED;
        }
        out.println(body.encodePrettily());
        return ExitCode.DONE;
    }
}
