package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.coltsfootquay.decision.memory.HeldBytes;

/**
 * Response of a server to one dispatch of a request, as far as it is received; not thread-safe.
 *
 * <p>Its bytes count toward the budget of all responses until it is released or sent to the caller.
 */
final class ReceivedResponse {

    private final HeldBytes held;
    private final BodyBuffer body = new BodyBuffer(0);
    private HttpResponse head;
    private ResponseMetadata metadata;

    /**
     * Creates a response of which nothing is received.
     *
     * @param held account of its bytes
     */
    ReceivedResponse(HeldBytes held) {
        this.held = held;
    }

    /** Counts the bytes that the router holds for this response; returns false if there is no room for them. */
    boolean hold(int bytes) {
        return held.resize(bytes);
    }

    /** Sets the status line and headers. */
    void start(HttpResponse receivedHead, ResponseMetadata receivedMetadata) {
        head = receivedHead;
        metadata = receivedMetadata;
    }

    /** Returns whether the status line and headers are received. */
    boolean started() {
        return head != null;
    }

    HttpResponseStatus status() {
        return head.status();
    }

    /** Returns whether the server reports success. */
    boolean successful() {
        return head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /** Returns whether only the end of the connection shows that the body is complete. */
    boolean endsWithConnection() {
        return HeaderUtils.endsWithConnection(head);
    }

    /** Returns what the complete response means for the request. */
    ResponseOutcome outcome() {
        return ResponseOutcome.of(head.status(), metadata);
    }

    int bodySize() {
        return body.size();
    }

    /** Adds a part of a body that is buffered; returns false, and adds nothing, if there is no room. */
    boolean addToBody(ByteBuf bytes) {
        boolean room = hold(body.capacityWith(bytes.readableBytes()));
        if (room) {
            body.add(bytes);
        }
        return room;
    }

    /** Sends the complete response to the caller; its bytes are released when they are written. */
    void sendTo(CallerResponseWriter caller) {
        held.pin();
        caller.sendResponse(head.status(), HeaderUtils.copyEndToEnd(head.headers()), body.toByteArray(), held);
    }

    /** Releases the bytes of a response that is not sent. */
    void release() {
        held.release();
    }
}
