package io.lagoonseam.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the status of a node and its view of the fleet as JSON. */
final class StatusCommand implements Command {

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Print the status of a node and of the fleet: members, roles, generation by data centre";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandOptions.required("node", "URL", "The operators' address of the node, http://IP:PORT"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        String node = line.getOptionValue("node");
        JsonObject status = new JsonObject(HttpReader.read(node + "/status"));
        status.put("fleet", new JsonObject(HttpReader.read(node + "/fleet")));
        out.println(status.encodePrettily());
        return ExitCode.SUCCESS;
    }
}
