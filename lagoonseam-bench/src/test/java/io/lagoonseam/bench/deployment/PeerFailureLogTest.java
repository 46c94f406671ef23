package io.lagoonseam.bench.deployment;

import static io.lagoonseam.bench.deployment.LocalDeployment.awaitThat;

import io.lagoonseam.standin.worker.WorkerOptions;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.Test;

/** Checks that a node logs when another node becomes unresponsive or announces its graceful shutdown. */
public class PeerFailureLogTest {

    private final List<String> lines = new CopyOnWriteArrayList<>();

    private boolean logged(String event, String loggingNode, String peer) {
        return lines.stream()
                .anyMatch(line -> line.contains("\"" + event + "\"")
                        && line.contains("\"node\":\"" + loggingNode + "\"")
                        && line.contains(peer));
    }

    @Test
    public void unresponsiveAndLeavingNodesAreLogged() {
        try (LocalDeployment deployment = new LocalDeployment(lines::add)) {
            deployment.startWorker("app", WorkerOptions.plain("p1"));
            deployment.configure();
            LocalDeployment.Node first = deployment.startNode();
            LocalDeployment.Node second = deployment.startNode();
            LocalDeployment.Node third = deployment.startNode();
            for (LocalDeployment.Node node : List.of(first, second, third)) {
                deployment.awaitReady(node);
            }
            LocalDeployment.await(second.vertx().close());
            awaitThat(
                    "node-1 logs that node-2 is suspected",
                    () -> logged("MEMBER_SUSPECTED", "node-1", LocalDeployment.peerHost(1)));
            third.vertx().runOnContext(nothing -> third.node().stop());
            awaitThat("node-1 logs that node-3 is leaving", () -> logged("MEMBER_LEAVING", "node-1", "node-3"));
        }
    }
}
