package io.lagoonseam.bench.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A caller with one connection on a raw socket, which it keeps until the connection ends, and which shows how it ended.
 * Not thread-safe.
 */
public final class KeptConnection implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 9_000;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int HEX = 16;

    private final String host;
    private final int port;
    private final StringBuilder received = new StringBuilder();
    private Socket socket;
    private int answers;

    /**
     * A complete answer.
     *
     * @param status the status
     * @param head the status line and the header section, in lower case
     * @param body the body
     */
    public record Answer(int status, String head, String body) {

        /** Returns whether the answer announces the end of the connection. */
        public boolean closing() {
            return head.contains("\r\nconnection: close");
        }
    }

    /** Returns what has been received of the body of the last answer, also if the connection ended before its end. */
    public String receivedBody() {
        return received.toString();
    }

    /**
     * Creates a caller without a connection.
     *
     * @param host the address to connect to
     * @param port the port to connect to
     */
    public KeptConnection(String host, int port) {
        this.host = host;
        this.port = port;
    }

    /**
     * Opens a connection unless one is open.
     *
     * @return false if nothing listens
     */
    public boolean connect() {
        if (socket != null) {
            return true;
        }
        Socket opened = new Socket();
        try {
            opened.setSoTimeout(TIMEOUT_MILLIS);
            opened.connect(new InetSocketAddress(host, port), TIMEOUT_MILLIS);
            socket = opened;
            answers = 0;
            return true;
        } catch (IOException e) {
            // nothing listens
            return false;
        }
    }

    /** Returns whether the open connection has not carried an answer yet. */
    public boolean fresh() {
        return answers == 0;
    }

    /**
     * Sends a request on the open connection and waits for the answer.
     *
     * @param line the method and the path, separated by a space
     * @param headers the headers besides Host and Content-Length
     * @return the complete answer, empty if the connection ended without one
     */
    public Optional<Answer> send(String line, Map<String, String> headers) {
        StringBuilder head = new StringBuilder(line)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: 2\r\n\r\n{}");
        received.setLength(0);
        try {
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            Answer answer = read(socket.getInputStream());
            answers++;
            if (answer.closing()) {
                close();
            }
            return Optional.of(answer);
        } catch (IOException e) {
            close();
            return Optional.empty();
        }
    }

    private Answer read(InputStream in) throws IOException {
        String head = readHead(in);
        int status = Integer.parseInt(head.split(" ")[1]);
        if (head.contains("\r\ntransfer-encoding: chunked")) {
            readChunks(in);
        } else if (head.contains("\r\ncontent-length:")) {
            received.append(readExactly(in, Integer.parseInt(header(head, "content-length"))));
        } else {
            received.append(new String(in.readAllBytes(), StandardCharsets.ISO_8859_1));
        }
        return new Answer(status, head, received.toString());
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < MAX_HEAD_BYTES && head.indexOf("\r\n\r\n") < 0) {
            head.append(readLine(in)).append("\r\n");
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the value of a header.
     *
     * @param head a header section in lower case
     * @param name the name of the header in lower case
     * @return the value
     * @throws IOException if it is missing
     */
    static String header(String head, String name) throws IOException {
        int start = head.indexOf("\r\n" + name + ":");
        if (start < 0) {
            throw new IOException("no " + name + " in " + head);
        }
        int from = start + name.length() + 3;
        return head.substring(from, head.indexOf("\r\n", from)).trim();
    }

    private void readChunks(InputStream in) throws IOException {
        int size = -1;
        while (size != 0) {
            size = Integer.parseInt(readLine(in).trim(), HEX);
            received.append(readExactly(in, size));
            readLine(in);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended within a line");
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    private static String readExactly(InputStream in, int bytes) throws IOException {
        byte[] body = in.readNBytes(bytes);
        if (body.length < bytes) {
            throw new EOFException("the connection ended after " + body.length + " of " + bytes + " bytes");
        }
        return new String(body, StandardCharsets.ISO_8859_1);
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
