package org.coltsfootquay.decision.request;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.configuration.ServiceKind;

/** Answer as the caller receives it: every part once, in order, and complete or marked as broken. */
final class CallerAnswer {

    /** Largest answer that is held until it is complete; 220 streams of a daemon hold far less on average. */
    static final int MAX_HELD_BYTES = 16 * 1024 * 1024;

    private static final int OK = 200;

    private final CallerRequest request;
    private final AnswerBuffer buffer = new AnswerBuffer();
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean headSeen;
    private boolean started;
    private boolean ended;

    CallerAnswer(CallerRequest request) {
        this.request = request;
    }

    /** Forgets the head of an attempt that ended; tokens are kept, other parts are received anew. */
    void restart() {
        headSeen = false;
        if (!buffer.tokens()) {
            buffer.expect(false);
        }
    }

    void head(int newStatus, Map<String, String> newHeaders) {
        headSeen = true;
        status = newStatus;
        headers = Map.copyOf(newHeaders);
        buffer.expect(request.kind() == ServiceKind.MODEL && newStatus == OK);
    }

    boolean headSeen() {
        return headSeen;
    }

    int status() {
        return status;
    }

    long next() {
        return buffer.next();
    }

    boolean tokens() {
        return buffer.tokens();
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
        return !started || buffer.tokens();
    }

    boolean ended() {
        return ended;
    }

    boolean isTooLarge() {
        return buffer.heldBytes() > MAX_HELD_BYTES;
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

    void part(byte[] data, List<RequestAction> actions) {
        long position = buffer.next();
        buffer.append(data, buffer.tokens() || !request.streamed() || request.once());
        if (request.streamed() && !ended) {
            start(actions);
            actions.add(new RequestAction.PassPart(position, data));
        }
    }

    void finish(String trailer, List<RequestAction> actions) {
        if (ended) {
            return;
        }
        ended = true;
        if (request.streamed()) {
            start(actions);
            actions.add(new RequestAction.FinishAnswer(trailer));
        } else {
            actions.add(new RequestAction.GiveAnswer(status, headers, buffer.parts(), buffer.tokens(), trailer));
        }
    }

    void give(int recordedStatus, Map<String, String> recordedHeaders, byte[] body, List<RequestAction> actions) {
        if (ended) {
            return;
        }
        ended = true;
        actions.add(new RequestAction.GiveAnswer(recordedStatus, recordedHeaders, List.of(body), false, ""));
    }

    void fail(ErrorReply error, List<RequestAction> actions) {
        if (ended) {
            return;
        }
        ended = true;
        actions.add(started ? new RequestAction.EndWithError(error) : new RequestAction.Refuse(error));
    }

    void callerGone() {
        ended = true;
    }

    private void start(List<RequestAction> actions) {
        if (!started) {
            started = true;
            actions.add(new RequestAction.StartAnswer(status, headers, buffer.tokens()));
        }
    }
}
