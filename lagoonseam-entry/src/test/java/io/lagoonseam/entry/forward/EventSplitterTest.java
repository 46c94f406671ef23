package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertEquals;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.Test;

/** Checks that an event stream received in arbitrary pieces is forwarded in complete events only. */
public class EventSplitterTest {

    private static final String STREAM =
            "version: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid: 3\r\ndata: d\r\n\r\n";

    @Test
    public void forwardsOnlyCompleteEventsAtEverySplitPosition() {
        for (int cut = 0; cut <= STREAM.length(); cut++) {
            EventSplitter splitter = new EventSplitter();
            String first =
                    splitter.feed(Buffer.buffer(STREAM.substring(0, cut))).toString();
            assertEquals(STREAM.startsWith(first), true);
            assertEquals(first.isEmpty() || first.endsWith("\n\n") || first.endsWith("\r\n\r\n"), true, "cut " + cut);
            String second = splitter.feed(Buffer.buffer(STREAM.substring(cut))).toString();
            assertEquals(first + second, STREAM);
            assertEquals(splitter.lastId(), "3");
            assertEquals(splitter.rest().length(), 0);
        }
    }

    @Test
    public void resumedStreamDropsReceivedEventsAtEverySplitPosition() {
        for (int cut = 0; cut <= STREAM.length(); cut++) {
            EventSplitter splitter = new EventSplitter("2");
            String forwarded =
                    splitter.feed(Buffer.buffer(STREAM.substring(0, cut))).toString()
                            + splitter.feed(Buffer.buffer(STREAM.substring(cut)));
            assertEquals(forwarded, ": comment\n\nid: 3\r\ndata: d\r\n\r\n", "cut " + cut);
            assertEquals(splitter.lastId(), "3");
            assertEquals(splitter.rest().length(), 0);
        }
    }

    @Test
    public void incompleteEventIsBufferedAndItsIdIgnored() {
        EventSplitter splitter = new EventSplitter();
        assertEquals(splitter.feed(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda")).toString(), "id: 1\ndata: a\n\n");
        assertEquals(splitter.lastId(), "1");
        assertEquals(splitter.rest().toString(), "id: 2\nda");
    }

    @Test
    public void aStreamEndsWithinAnEventUnlessABlankLineEndsIt() {
        for (int end = 1; end <= STREAM.length(); end++) {
            String cut = STREAM.substring(0, end);
            boolean whole = cut.endsWith("\n\n") || cut.endsWith("\n\r\n");
            assertEquals(EventSplitter.endsWithinEvent(Buffer.buffer(cut)), !whole, cut);
        }
        assertEquals(EventSplitter.endsWithinEvent(Buffer.buffer()), false);
    }

    @Test
    public void commentsAndEventsWithoutContentAreNoProgress() {
        EventSplitter splitter = new EventSplitter();
        splitter.feed(Buffer.buffer(": comment\n\nevent: ping\n\ndata: a"));
        assertEquals(splitter.progressed(), false);
        splitter.feed(Buffer.buffer("b\n\n"));
        assertEquals(splitter.progressed(), true);
        splitter.feed(Buffer.buffer("\n"));
        assertEquals(splitter.progressed(), false);
    }
}
