package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests callers on raw sockets: requests with ambiguous framing must be rejected without reaching a worker, and a
 * caller that disconnects must cancel its request at the worker.
 */
public class RawCallerTest {

    private static final String HEADER_SECTION_START = "POST /pay/x HTTP/1.1\r\nHost: " + LocalDeployment.HOST
            + "\r\nApi-Key: " + LocalDeployment.KEY + "\r\nX-Request-Id: raw-1\r\n";

    private LocalDeployment deployment;
    private LocalDeployment.Node node;
    private WorkerStandIn worker;

    @BeforeMethod
    public void start() {
        deployment = new LocalDeployment(event -> {});
        worker = deployment.startWorker("app", WorkerOptions.plain("p1"));
        deployment.configure();
        node = deployment.startNode();
        deployment.awaitReady(node);
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    private String sendAndReceive(String bytes) throws Exception {
        try (Socket socket =
                new Socket(LocalDeployment.HOST, node.settings().callers().port())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                received.write(next);
            }
            return received.toString(StandardCharsets.ISO_8859_1);
        }
    }

    private void assertRejected(String request) throws Exception {
        String answer = sendAndReceive(request);
        assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
        assertEquals(worker.recordedRequests().size(), 0);
    }

    @Test
    public void contentLengthWithChunkedEncodingIsRejected() throws Exception {
        assertRejected(HEADER_SECTION_START + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                + HEADER_SECTION_START + "Content-Length: 0\r\n\r\n");
    }

    @Test
    public void conflictingContentLengthsAreRejected() throws Exception {
        assertRejected(HEADER_SECTION_START + "Content-Length: 2\r\nContent-Length: 40\r\n\r\n{}");
    }

    @Test
    public void invalidChunkSizeIsRejected() throws Exception {
        assertRejected(HEADER_SECTION_START + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n");
    }

    @Test
    public void callerDisconnectClosesTheWorkerConnection() throws Exception {
        worker.setFaults(new JsonObject().put("silent", true));
        try (Socket socket =
                new Socket(LocalDeployment.HOST, node.settings().callers().port())) {
            socket.getOutputStream()
                    .write((HEADER_SECTION_START + "Content-Length: 2\r\n\r\n{}")
                            .getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            LocalDeployment.awaitThat("the request has reached the worker", () -> worker.openRequests() == 1);
        }
        LocalDeployment.awaitThat("the connection to the worker is closed", () -> worker.openRequests() == 0);
    }
}
