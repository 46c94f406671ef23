package io.lagoonseam.entry.peer;

import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.wire.FrameKind;
import io.lagoonseam.wire.PeerFrame;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * A request that waits for its connection or its answer. Not thread-safe: used only on the event loop of the transport.
 */
final class PendingRequest {

    private final int messageType;
    private final byte[] payload;
    private final CompletableFuture<PeerReply> reply;
    private final Executor handlers;
    private Runnable completionAction = () -> {};
    private boolean sent;
    private boolean done;

    PendingRequest(int messageType, byte[] payload, CompletableFuture<PeerReply> reply, Executor handlers) {
        this.messageType = messageType;
        this.payload = payload;
        this.reply = reply;
        this.handlers = handlers;
    }

    int messageType() {
        return messageType;
    }

    byte[] payload() {
        return payload;
    }

    boolean done() {
        return done;
    }

    boolean sent() {
        return sent;
    }

    /** Sets the action to run when the request completes, on the event loop and before the reply is delivered. */
    void onCompletion(Runnable action) {
        completionAction = action;
    }

    /** Records that bytes of the request may have been sent from now on. */
    void markSent() {
        sent = true;
    }

    /** Completes the request without an answer: as not sent if no byte was sent, as unknown otherwise. */
    void fail(String reason) {
        complete(sent ? new PeerReply.Unknown(reason) : new PeerReply.NotSent(reason));
    }

    /** Completes the request with the reply frame of the other node. */
    void completeWith(PeerFrame frame) {
        if (frame.kind() == FrameKind.ANSWER) {
            complete(new PeerReply.Answered(frame.payload()));
        } else if (frame.kind() == FrameKind.REFUSAL) {
            complete(new PeerReply.NotSent(text(frame)));
        } else {
            complete(new PeerReply.Unknown(text(frame)));
        }
    }

    private static String text(PeerFrame frame) {
        return new String(frame.payload(), StandardCharsets.UTF_8);
    }

    private void complete(PeerReply result) {
        if (!done) {
            done = true;
            completionAction.run();
            deliverReply(result);
        }
    }

    /**
     * Completes the reply on the handler executor, or on the calling thread if that executor rejects the task. The
     * decision threads of the node discard tasks after their shutdown instead of rejecting them, so the reply then
     * never completes.
     */
    private void deliverReply(PeerReply result) {
        try {
            handlers.execute(() -> reply.complete(result));
        } catch (RejectedExecutionException e) {
            reply.complete(result);
        }
    }
}
