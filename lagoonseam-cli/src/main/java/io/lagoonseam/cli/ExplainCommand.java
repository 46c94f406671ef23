package io.lagoonseam.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the decisions recorded about one request. */
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
        return "Print the steps of a request, from the node that served it or from the logs of several nodes";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.of("node", "URL", "The operators' address of the node, http://IP:PORT"))
                .addOption(CommandOptions.of(
                        "logs", "FILES", "Log files of nodes, separated by commas; - is standard input"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        String id = CommandOptions.singleArgument(line, arguments());
        if (line.hasOption("logs")) {
            return new LogExplainer(id).explain(line.getOptionValue("logs"), System.in, out)
                    ? ExitCode.SUCCESS
                    : ExitCode.FAILURE;
        }
        if (!line.hasOption("node")) {
            throw new UsageException("either --node or --logs is required");
        }
        JsonObject body = new JsonObject(HttpReader.read(line.getOptionValue("node") + "/requests/" + id));
        if (body.containsKey("error")) {
            err.println(body.getString("error"));
            return ExitCode.FAILURE;
        }
        out.println(body.encodePrettily());
        return ExitCode.SUCCESS;
    }
}
