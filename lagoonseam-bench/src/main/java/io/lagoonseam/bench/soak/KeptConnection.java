package io.lagoonseam.bench.deployment;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A caller with one kept connection on a raw socket, which notices how the connection ends. Not thread-safe. */
final class RawCaller implements AutoCloseable {

    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");
    private static final Pattern STATUS = Pattern.compile("HTTP/1.1 (\\d+)");
    private static final int TIMEOUT_MILLIS = 8_000;

    private final int port;
    private Socket socket;

    /**
     * A complete answer.
     *
     * @param status its status
     * @param closing whether it announces the end of the connection
     * @param body its body
     */
    record Answer(int status, boolean closing, String body) {}

    RawCaller(int port) {
        this.port = port;
    }

    /** Opens a connection unless one is open; returns false if nothing listens any more. */
    boolean connect() {
        if (socket != null) {
            return true;
        }
        Socket opened = new Socket();
        try {
            opened.setSoTimeout(TIMEOUT_MILLIS);
            opened.connect(new InetSocketAddress(LocalDeployment.HOST, port), TIMEOUT_MILLIS);
            socket = opened;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a payment on the open connection; returns empty if the connection ends without a complete answer. */
    Optional<Answer> pay(String id) {
        String head = "POST /pay/x HTTP/1.1\r\nHost: " + LocalDeployment.HOST + "\r\nApi-Key: " + LocalDeployment.KEY
                + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}";
        try {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            Answer answer = read(socket.getInputStream());
            if (answer.closing()) {
                close();
            }
            return Optional.of(answer);
        } catch (IOException e) {
            close();
            return Optional.empty();
        }
    }

    private static Answer read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection ended after " + head.size() + " bytes of an answer");
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        Matcher length = LENGTH.matcher(text);
        Matcher status = STATUS.matcher(text);
        if (!length.find() || !status.find()) {
            throw new IOException("not understood: " + text);
        }
        int bytes = Integer.parseInt(length.group(1));
        byte[] body = in.readNBytes(bytes);
        if (body.length < bytes) {
            throw new EOFException("the connection ended after " + body.length + " of " + bytes + " bytes");
        }
        return new Answer(
                Integer.parseInt(status.group(1)),
                text.toLowerCase(Locale.ROOT).contains("\r\nconnection: close"),
                new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            socket = null;
        }
    }
}
