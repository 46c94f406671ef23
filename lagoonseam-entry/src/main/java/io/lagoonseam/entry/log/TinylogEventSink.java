package io.lagoonseam.entry.log;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import org.tinylog.Logger;

/** Logs events through tinylog as {@code event=NUMBER name=NAME node=NODE detail="..."}. */
public final class TinylogEventSink implements EventSink {

    private final String nodeId;

    /**
     * Creates a sink.
     *
     * @param nodeId the id of the node, written on every line
     */
    public TinylogEventSink(String nodeId) {
        this.nodeId = nodeId;
    }

    @Override
    public void record(EventCode code, String detail) {
        String line = "event=" + code.number() + " name=" + code.name() + " node=" + nodeId + " detail=\""
                + detail.replace('"', '\'').replace('\n', ' ') + "\"";
        switch (code.level()) {
            case INFO -> Logger.info(line);
            case WARNING -> Logger.warn(line);
            case ERROR -> Logger.error(line);
        }
    }
}
