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

    private record Started(VertxPeerTransport transport, MetricRegistry registry) {

        long count(String name) {
            return registry.counter(name).getCount();
        }
    }

    private Started deploy(String nodeId, Optional<TlsFiles> tls) {
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
        return new Started(transport, registry);
    }

    private static PeerReply ask(Started from, String to) {
        return ask(from, to, TIMEOUT_MILLIS);
    }

    private static PeerReply ask(Started from, String to, long timeoutMillis) {
        return from.transport()
                .request(to, TYPE, new byte[] {7}, timeoutMillis)
                .toCompletableFuture()
                .join();
    }

    private static void assertAnswered(PeerReply reply) {
        assertTrue(reply instanceof PeerReply.Answered, reply.toString());
    }

    @Test(timeOut = 60_000)
    public void onePairKeepsOneConnectionForBothSides() {
        Started a = deploy("a", Optional.empty());
        Started b = deploy("b", Optional.empty());
        for (int round = 0; round < 20; round++) {
            assertAnswered(ask(a, "b"));
            assertAnswered(ask(b, "a"));
        }
        assertEquals(a.count("peer.connections"), 1);
        assertEquals(b.count("peer.connections"), 1);
    }

    @Test(timeOut = 60_000)
    public void requestForAnotherNodeIsNotSent() {
        Started a = deploy("a", Optional.empty());
        deploy("b", Optional.empty());
        addresses.put("c", addresses.get("b"));
        assertTrue(ask(a, "c") instanceof PeerReply.NotSent);
    }

    @Test(timeOut = 60_000)
    public void silentConnectionIsReplaced() throws IOException {
        Started a = deploy("a", Optional.empty());
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getByName(HOST))) {
            addresses.put("b", new PeerAddress(HOST, silent.getLocalPort()));
            assertTrue(ask(a, "b", 50) instanceof PeerReply.Unknown);
            while (a.count("peer.silentConnections") == 0) {
                Thread.onSpinWait();
            }
        }
        deploy("b", Optional.empty());
        assertAnswered(ask(a, "b"));
    }

    @Test(timeOut = 60_000)
    public void randomBytesCloseTheirConnectionAndHarmNothingElse() throws IOException {
        Started a = deploy("a", Optional.empty());
        Started b = deploy("b", Optional.empty());
        assertAnswered(ask(a, "b"));
        Random random = new Random(11);
        for (int round = 0; round < FUZZ_ROUNDS; round++) {
            try (Socket socket = new Socket(HOST, addresses.get("b").port())) {
                socket.getOutputStream().write(garbage(random, round));
            } catch (IOException e) {
                assertFalse(e.getMessage().contains("refused"), e.getMessage());
            }
        }
        assertAnswered(ask(a, "b"));
        assertTrue(b.count("peer.badFrames") > FUZZ_ROUNDS / 4, "bad frames: " + b.count("peer.badFrames"));
        while (b.count("peer.connections") > 1) {
            Thread.onSpinWait();
        }
        assertAnswered(ask(b, "a"));
    }

    private static byte[] garbage(Random random, int round) {
        byte[] frame =
                PeerFrameCodec.encode(new PeerFrame(FrameKind.REQUEST, round, "x" + round, "b", TYPE, new byte[99]));
        byte[] whole = ByteBuffer.allocate(frame.length + Integer.BYTES)
                .putInt(frame.length)
                .put(frame)
                .array();
        return switch (round % 4) {
            case 0 -> {
                byte[] noise = new byte[1 + random.nextInt(2_000)];
                random.nextBytes(noise);
                yield noise;
            }
            case 1 -> Arrays.copyOf(whole, 1 + random.nextInt(whole.length));
            case 2 ->
                ByteBuffer.allocate(Integer.BYTES)
                        .putInt(PeerFrameCodec.FRAME_LIMIT_BYTES + 1)
                        .array();
            default -> {
                whole[Integer.BYTES + random.nextInt(12)] ^= (byte) (1 + random.nextInt(255));
                yield whole;
            }
        };
    }

    @Test(timeOut = 60_000)
    public void mutualTlsAdmitsNodesOfTheAuthorityUnderTheirOwnNames() throws IOException {
        TestCertificates authority = new TestCertificates(Files.createTempDirectory("tls"));
        TestCertificates stranger = new TestCertificates(Files.createTempDirectory("tls"));
        Started a = deploy("a", Optional.of(authority.issue("a", "a")));
        Started b = deploy("b", Optional.of(authority.issue("b", "b")));
        Started outsider = deploy("c", Optional.of(stranger.issue("c", "c")));
        Started impostor = deploy("d", Optional.of(authority.issue("d", "another")));
        Started plain = deploy("e", Optional.empty());
        assertAnswered(ask(a, "b"));
        assertAnswered(ask(b, "a"));
        assertFalse(ask(outsider, "b", 2_000) instanceof PeerReply.Answered);
        assertFalse(ask(impostor, "b", 2_000) instanceof PeerReply.Answered);
        assertFalse(ask(plain, "b", 2_000) instanceof PeerReply.Answered);
        assertTrue(ask(a, "d") instanceof PeerReply.NotSent);
        assertAnswered(ask(a, "b"));
    }

    @Test(timeOut = 60_000)
    public void renewedCertificatesAreUsedWithoutARestart() throws IOException {
        Path folder = Files.createTempDirectory("tls");
        TestCertificates old = new TestCertificates(folder);
        TestCertificates renewed = new TestCertificates(Files.createTempDirectory("tls"));
        Started a = deploy("a", Optional.of(old.issue("a", "a")));
        TlsFiles filesOfB = old.issue("b", "b");
        Started b = deploy("b", Optional.of(filesOfB));
        Started late = deploy("c", Optional.of(renewed.issue("c", "c")));
        assertAnswered(ask(a, "b"));
        assertFalse(ask(late, "b", 2_000) instanceof PeerReply.Answered);
        TlsFiles renewedFiles = renewed.issue("b", "b");
        replace(filesOfB.certificateFile(), renewedFiles.certificateFile());
        replace(filesOfB.keyFile(), renewedFiles.keyFile());
        replace(filesOfB.authorityFile(), renewedFiles.authorityFile());
        b.transport().renew(filesOfB).await();
        assertAnswered(ask(late, "b"));
        assertAnswered(ask(a, "b"));
    }

    private static void replace(String file, String by) throws IOException {
        Files.copy(Path.of(by), Path.of(file), StandardCopyOption.REPLACE_EXISTING);
    }
}
