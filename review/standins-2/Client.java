import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One request of a client on a channel of its own. */
final class Client {

    private Client() {}

    /** What a request ended with: a status, or 0 with the reason if no whole answer has come. */
    record Result(int status, Http.Message answer, String reason) {}

    static Result send(
            Bed.Node node, String method, String path, String requestId, String key, long deadlineMillis, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMillis);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nX-Request-Id: " + requestId
                    + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nApi-Key: " + key + "\r\n"
                    + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            Http.Message answer = Http.answer(new BufferedInputStream(socket.getInputStream()));
            return new Result(answer.status(), answer, "");
        } catch (IOException e) {
            return new Result(0, null, String.valueOf(e.getMessage()));
        }
    }
}
