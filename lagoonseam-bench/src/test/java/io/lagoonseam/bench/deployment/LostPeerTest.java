package io.lagoonseam.bench.deployment;

import static io.lagoonseam.bench.deployment.LocalDeployment.awaitThat;

import io.lagoonseam.standin.worker.WorkerOptions;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.Test;

/** What a node tells of another one that goes silent or leaves. */
public class LostPeerTest {

    private final List<String> lines = new CopyOnWriteArrayList<>();

    private boolean told(String event, String by, String of) {
        return lines.stream()
                .anyMatch(line -> line.contains("\"" + event + "\"")
                        && line.contains("\"node\":\"" + by + "\"")
                        && line.contains(of));
    }

    @Test
    public void aNodeThatDiesAndOneThatLeavesAreTold() {
        try (LocalDeployment fleet = new LocalDeployment(lines::add)) {
            fleet.worker("app", WorkerOptions.plain("p1"));
            fleet.configure();
            LocalDeployment.Node first = fleet.start();
            LocalDeployment.Node second = fleet.start();
            LocalDeployment.Node third = fleet.start();
            for (LocalDeployment.Node node : List.of(first, second, third)) {
                fleet.awaitReady(node);
            }
            LocalDeployment.await(second.vertx().close());
            awaitThat("a dead node is told", () -> told("MEMBER_SUSPECTED", "node-1", LocalDeployment.peerHost(1)));
            third.vertx().runOnContext(nothing -> third.node().stop());
            awaitThat("a leaving node is told", () -> told("MEMBER_LEAVING", "node-1", "node-3"));
        }
    }
}
