package io.lagoonseam.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Reads back what a node says of itself. */
final class StatusCommand implements Command {

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Print what a node says of itself: readiness, generation in force, invariants";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.required("node", "URL", "The node's operators' address, http://IP:PORT"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        String body = HttpReader.read(line.getOptionValue("node") + "/status");
        out.println(new JsonObject(body).encodePrettily());
        return ExitCode.DONE;
    }
}
