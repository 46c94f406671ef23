import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages for the stand-ins. */
final class Http {

    private Http() {}

    /** A message: its first line, its headers by lower-case names, and its body. */
    static final class Message {
        String line = "";
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String word(int index) {
            String[] words = line.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        boolean chunked() {
            return header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked");
        }
    }

    /** Reads one line; null at the end of the stream before its first byte. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (out.size() == 0) {
                    return null;
                }
                throw new EOFException("the channel ended within a line");
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the first line and the headers; null at an orderly end before the first byte. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.line = first;
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("the channel ended within a head");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the channel ended within a body");
        }
        return bytes;
    }

    /** Reads a request with its body; null at an orderly end before it. */
    static Message request(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) {
            return null;
        }
        if (message.chunked()) {
            message.body = chunks(in);
        } else if (!message.header("content-length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        }
        return message;
    }

    static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
            body.write(chunk);
        }
        return body.toByteArray();
    }

    /** Reads one chunk; empty for the last one. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("the channel ended between chunks");
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] chunk = exactly(in, length);
        line(in);
        return chunk;
    }

    /** Reads an answer as a whole; one that ends early is an exception. */
    static Message answer(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) {
            throw new EOFException("the channel ended without an answer");
        }
        if (message.chunked()) {
            message.body = chunks(in);
        } else if (!message.header("content-length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        } else if (message.status() != 204 && message.status() != 304) {
            message.body = in.readAllBytes();
        }
        return message;
    }
}
