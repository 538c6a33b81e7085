package org.coltsfootquay.decision.request;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.configuration.ServiceKind;

/** Answer as the caller receives it: every part once, in order, and complete or marked as broken. */
final class CallerResponse {

    /** Largest answer that is held until it is complete; 220 streams of a daemon hold far less on average. */
    static final int MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

    private static final int OK = 200;

    private final CallerRequest request;
    private final ResponseBuffer buffer = new ResponseBuffer();
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean headReceived;
    private boolean started;
    private boolean ended;

    CallerResponse(CallerRequest request) {
        this.request = request;
    }

    /** Forgets the head of an attempt that ended; tokens are kept, other parts are received anew. */
    void prepareRetry() {
        headReceived = false;
        if (!buffer.tokenStream()) {
            buffer.prepare(false);
        }
    }

    void receiveHead(int newStatus, Map<String, String> newHeaders) {
        headReceived = true;
        status = newStatus;
        headers = Map.copyOf(newHeaders);
        buffer.prepare(request.kind() == ServiceKind.MODEL && newStatus == OK);
    }

    boolean headReceived() {
        return headReceived;
    }

    int status() {
        return status;
    }

    long nextPosition() {
        return buffer.nextPosition();
    }

    boolean tokenStream() {
        return buffer.tokenStream();
    }

    /**
     * Tells whether the caller has received anything.
     *
     * @return true if the request can no longer be refused, only ended with an error
     */
    boolean started() {
        return started;
    }

    /**
     * Tells whether another attempt can go on where the caller's answer stands.
     *
     * @return false if bytes were passed, which no server can continue
     */
    boolean isContinuable() {
        return !started || buffer.tokenStream();
    }

    boolean ended() {
        return ended;
    }

    boolean isTooLarge() {
        return buffer.bufferedBytes() > MAX_BUFFERED_BYTES;
    }

    List<String> tokenTexts() {
        return buffer.tokenTexts();
    }

    byte[] bytes() {
        return buffer.bytes();
    }

    Map<String, String> headers() {
        return headers;
    }

    void receivePart(byte[] data, List<RequestAction> actions) {
        long position = buffer.nextPosition();
        buffer.append(data, buffer.tokenStream() || !request.streamed() || request.atMostOnce());
        if (request.streamed() && !ended) {
            ensureStarted(actions);
            actions.add(new RequestAction.SendPart(position, data));
        }
    }

    void finish(String trailer, List<RequestAction> actions) {
        if (ended) {
            return;
        }
        ended = true;
        if (request.streamed()) {
            ensureStarted(actions);
            actions.add(new RequestAction.FinishResponse(trailer));
        } else {
            actions.add(new RequestAction.SendResponse(status, headers, buffer.parts(), buffer.tokenStream(), trailer));
        }
    }

    void sendRecorded(int recordedStatus, Map<String, String> recordedHeaders, byte[] body, List<RequestAction> actions) {
        if (ended) {
            return;
        }
        ended = true;
        actions.add(new RequestAction.SendResponse(recordedStatus, recordedHeaders, List.of(body), false, ""));
    }

    void sendError(ErrorResponse error, List<RequestAction> actions) {
        if (ended) {
            return;
        }
        ended = true;
        actions.add(started ? new RequestAction.EndWithError(error) : new RequestAction.Refuse(error));
    }

    void disconnect() {
        ended = true;
    }

    private void ensureStarted(List<RequestAction> actions) {
        if (!started) {
            started = true;
            actions.add(new RequestAction.StartResponse(status, headers, buffer.tokenStream()));
        }
    }
}
