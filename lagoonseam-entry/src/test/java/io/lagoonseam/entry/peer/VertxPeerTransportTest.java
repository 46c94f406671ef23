package io.lagoonseam.entry.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.tls.TlsFiles;
import io.lagoonseam.wire.FrameKind;
import io.lagoonseam.wire.PeerFrame;
import io.lagoonseam.wire.PeerFrameCodec;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks connections between nodes: reuse, unresponsive peers, malformed frames and mutual TLS. */
public final class VertxPeerTransportTest {

    private static final String HOST = "127.0.0.1";
    private static final int TYPE = 19;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int FUZZ_ROUNDS = 300;

    private final Map<String, PeerAddress> addresses = new ConcurrentHashMap<>();
    private Vertx vertx;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        addresses.clear();
    }

    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    private record StartedTransport(VertxPeerTransport transport, MetricRegistry registry) {

        long count(String name) {
            return registry.counter(name).getCount();
        }
    }

    private StartedTransport deploy(String nodeId, Optional<TlsFiles> tls) {
        MetricRegistry registry = new MetricRegistry();
        VertxPeerTransport transport = new VertxPeerTransport(new PeerTransportOptions(
                nodeId,
                new ListenAddress(HOST, 0),
                tls,
                id -> Optional.ofNullable(addresses.get(id)),
                Runnable::run,
                new SystemTimeSource(),
                registry,
                new NoopEventSink()));
        vertx.deployVerticle(transport).await();
        addresses.put(nodeId, new PeerAddress(HOST, transport.port()));
        transport.register(TYPE, (sender, payload) -> CompletableFuture.completedFuture(payload));
        return new StartedTransport(transport, registry);
    }

    private static PeerReply sendRequest(StartedTransport from, String to) {
        return sendRequest(from, to, TIMEOUT_MILLIS);
    }

    private static PeerReply sendRequest(StartedTransport from, String to, long timeoutMillis) {
        return from.transport()
                .request(to, TYPE, new byte[] {7}, timeoutMillis)
                .toCompletableFuture()
                .join();
    }

    private static void assertAnswered(PeerReply reply) {
        assertTrue(reply instanceof PeerReply.Answered, reply.toString());
    }

    @Test(timeOut = 60_000)
    public void pairOfNodesSharesOneConnection() {
        StartedTransport a = deploy("a", Optional.empty());
        StartedTransport b = deploy("b", Optional.empty());
        for (int round = 0; round < 20; round++) {
            assertAnswered(sendRequest(a, "b"));
            assertAnswered(sendRequest(b, "a"));
        }
        assertEquals(a.count("peer.connections"), 1);
        assertEquals(b.count("peer.connections"), 1);
    }

    @Test(timeOut = 60_000)
    public void requestForAnotherNodeIsNotSent() {
        StartedTransport a = deploy("a", Optional.empty());
        deploy("b", Optional.empty());
        addresses.put("c", addresses.get("b"));
        assertTrue(sendRequest(a, "c") instanceof PeerReply.NotSent);
    }

    @Test(timeOut = 60_000)
    public void unresponsiveConnectionIsReplaced() throws IOException {
        StartedTransport a = deploy("a", Optional.empty());
        try (ServerSocket unresponsive = new ServerSocket(0, 50, InetAddress.getByName(HOST))) {
            addresses.put("b", new PeerAddress(HOST, unresponsive.getLocalPort()));
            assertTrue(sendRequest(a, "b", 50) instanceof PeerReply.Unknown);
            while (a.count("peer.silentConnections") == 0) {
                Thread.onSpinWait();
            }
        }
        deploy("b", Optional.empty());
        assertAnswered(sendRequest(a, "b"));
    }

    @Test(timeOut = 60_000)
    public void malformedBytesCloseOnlyTheirOwnConnection() throws IOException {
        StartedTransport a = deploy("a", Optional.empty());
        StartedTransport b = deploy("b", Optional.empty());
        assertAnswered(sendRequest(a, "b"));
        Random random = new Random(11);
        for (int round = 0; round < FUZZ_ROUNDS; round++) {
            try (Socket socket = new Socket(HOST, addresses.get("b").port())) {
                socket.getOutputStream().write(malformedBytes(random, round));
            } catch (IOException e) {
                assertFalse(e.getMessage().contains("refused"), e.getMessage());
            }
        }
        assertAnswered(sendRequest(a, "b"));
        assertTrue(b.count("peer.badFrames") > FUZZ_ROUNDS / 4, "bad frames: " + b.count("peer.badFrames"));
        while (b.count("peer.connections") > 1) {
            Thread.onSpinWait();
        }
        assertAnswered(sendRequest(b, "a"));
    }

    private static byte[] malformedBytes(Random random, int round) {
        byte[] frame =
                PeerFrameCodec.encode(new PeerFrame(FrameKind.REQUEST, round, "x" + round, "b", TYPE, new byte[99]));
        byte[] completeFrame = ByteBuffer.allocate(frame.length + Integer.BYTES)
                .putInt(frame.length)
                .put(frame)
                .array();
        return switch (round % 4) {
            case 0 -> {
                byte[] noise = new byte[1 + random.nextInt(2_000)];
                random.nextBytes(noise);
                yield noise;
            }
            case 1 -> Arrays.copyOf(completeFrame, 1 + random.nextInt(completeFrame.length));
            case 2 ->
                ByteBuffer.allocate(Integer.BYTES)
                        .putInt(PeerFrameCodec.FRAME_LIMIT_BYTES + 1)
                        .array();
            default -> {
                completeFrame[Integer.BYTES + random.nextInt(12)] ^= (byte) (1 + random.nextInt(255));
                yield completeFrame;
            }
        };
    }

    @Test(timeOut = 60_000)
    public void mutualTlsAcceptsOnlyMatchingCertificatesOfTheAuthority() throws IOException {
        TestCertificates authority = new TestCertificates(Files.createTempDirectory("tls"));
        TestCertificates otherAuthority = new TestCertificates(Files.createTempDirectory("tls"));
        StartedTransport a = deploy("a", Optional.of(authority.issue("a", "a")));
        StartedTransport b = deploy("b", Optional.of(authority.issue("b", "b")));
        StartedTransport outsider = deploy("c", Optional.of(otherAuthority.issue("c", "c")));
        StartedTransport impostor = deploy("d", Optional.of(authority.issue("d", "another")));
        StartedTransport plain = deploy("e", Optional.empty());
        assertAnswered(sendRequest(a, "b"));
        assertAnswered(sendRequest(b, "a"));
        assertFalse(sendRequest(outsider, "b", 2_000) instanceof PeerReply.Answered);
        assertFalse(sendRequest(impostor, "b", 2_000) instanceof PeerReply.Answered);
        assertFalse(sendRequest(plain, "b", 2_000) instanceof PeerReply.Answered);
        assertTrue(sendRequest(a, "d") instanceof PeerReply.NotSent);
        assertAnswered(sendRequest(a, "b"));
    }

    @Test(timeOut = 60_000)
    public void renewedCertificatesAreUsedWithoutRestart() throws IOException {
        Path folder = Files.createTempDirectory("tls");
        TestCertificates old = new TestCertificates(folder);
        TestCertificates renewed = new TestCertificates(Files.createTempDirectory("tls"));
        StartedTransport a = deploy("a", Optional.of(old.issue("a", "a")));
        TlsFiles filesOfB = old.issue("b", "b");
        StartedTransport b = deploy("b", Optional.of(filesOfB));
        StartedTransport late = deploy("c", Optional.of(renewed.issue("c", "c")));
        assertAnswered(sendRequest(a, "b"));
        assertFalse(sendRequest(late, "b", 2_000) instanceof PeerReply.Answered);
        TlsFiles renewedFiles = renewed.issue("b", "b");
        replace(filesOfB.certificateFile(), renewedFiles.certificateFile());
        replace(filesOfB.keyFile(), renewedFiles.keyFile());
        replace(filesOfB.authorityFile(), renewedFiles.authorityFile());
        b.transport().renewCertificates(filesOfB).await();
        assertAnswered(sendRequest(late, "b"));
        assertAnswered(sendRequest(a, "b"));
    }

    private static void replace(String file, String by) throws IOException {
        Files.copy(Path.of(by), Path.of(file), StandardCopyOption.REPLACE_EXISTING);
    }
}
