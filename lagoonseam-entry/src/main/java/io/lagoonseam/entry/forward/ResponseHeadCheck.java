package io.lagoonseam.entry.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Decides whether the head of a response is that of one response, with a status of the protocol. If the copy of an
 * earlier response breaks off within its head, its bytes and the status line of the next response are parsed as one
 * head: the status is that of the copy, and the headers, the id among them, are those of the next response. The second
 * status line then stands in the reason phrase or in a header.
 */
final class ResponseHeadCheck {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    /** The statuses that announce an answer, after which it still comes. */
    private static final Set<Integer> INFORMATIONAL = Set.of(100, 102, 103);

    private ResponseHeadCheck() {}

    /**
     * Returns whether a status is one that an answer may have, or an announcement of one. No node asks to change the
     * protocol, so 101 is none.
     */
    static boolean hasUsableStatus(HttpResponse response) {
        int status = response.status().code();
        return status >= MIN_STATUS && status <= MAX_STATUS || INFORMATIONAL.contains(status);
    }

    /** Returns whether the head can only have been joined from those of two responses. */
    static boolean isJoined(HttpResponse response) {
        HttpVersion version = response.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return true;
        }
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
