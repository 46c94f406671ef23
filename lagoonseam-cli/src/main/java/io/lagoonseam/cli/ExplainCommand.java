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
        return "Print what the node that served a request decided: class, wait, workers weighed, attempts, verdict";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.required("node", "URL", "The node's operators' address, http://IP:PORT"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        String id = CommandOptions.onlyArgument(line, arguments());
        JsonObject body = new JsonObject(HttpReader.read(line.getOptionValue("node") + "/requests/" + id));
        if (body.containsKey("error")) {
            err.println(body.getString("error"));
            return ExitCode.FAILED;
        }
        out.println(body.encodePrettily());
        return ExitCode.DONE;
    }
}
