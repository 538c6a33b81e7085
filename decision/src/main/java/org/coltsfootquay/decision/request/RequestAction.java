package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.dispatch.EndReport;
import org.coltsfootquay.decision.store.RowWrite;

/** Output of a {@link RequestFlow}, to be carried out in order. */
public sealed interface RequestAction {

    /**
     * Queue the attempt at an owner. If the owner cannot be reached, answer with {@link RequestEvent.OwnerLost}.
     *
     * @param owner owner
     * @param attempt attempt
     * @param excludedServers servers that must not execute the attempt
     * @param resumed whether the attempt continues a stream that was broken or preempted
     * @param remainingToTarget time left until the target of the class is missed; may be negative
     * @param patience time the attempt may wait
     */
    record EnqueueAtOwner(
            RouterId owner,
            RequestAttempt attempt,
            Set<ServerName> excludedServers,
            boolean resumed,
            Duration remainingToTarget,
            Duration patience)
            implements RequestAction {}

    /**
     * Take an attempt back from an owner; nothing was sent.
     *
     * @param owner owner
     * @param attempt attempt
     * @param reason reason, for logs
     */
    record WithdrawFromOwner(RouterId owner, RequestAttempt attempt, String reason) implements RequestAction {}

    /**
     * Open a request on a server. Just before the first byte is written the client calls {@link RequestFlow#maySend};
     * exactly one of {@code SendStarted}, {@code SendAbandoned} and {@code ConnectFailed} follows.
     *
     * @param attempt attempt, sent as request id
     * @param server server
     * @param address address, {@code host:port}
     * @param fencingNumber fencing number
     * @param continueFrom tokens the caller already has; empty for a new request. Positions of parts count from them
     */
    record SendToServer(
            RequestAttempt attempt, ServerName server, String address, long fencingNumber, List<String> continueFrom)
            implements RequestAction {}

    /**
     * Open the stream of an attempt again on the engine that still holds it. The head, parts from the position, and the
     * end follow, or {@code ConnectFailed} or {@code ConnectionBroken}.
     *
     * @param attempt attempt
     * @param server server
     * @param address address, {@code host:port}
     * @param fencingNumber fencing number
     * @param fromPosition position of the first token that is missing
     */
    record ResumeOnServer(RequestAttempt attempt, ServerName server, String address, long fencingNumber, long fromPosition)
            implements RequestAction {}

    /**
     * Cancel the attempt on the server, close its connection and deliver no further events of it.
     *
     * @param attempt attempt
     * @param server server
     * @param address address, {@code host:port}
     */
    record CancelOnServer(RequestAttempt attempt, ServerName server, String address) implements RequestAction {}

    /**
     * Start the answer to a caller that receives it in parts.
     *
     * @param status HTTP status
     * @param headers headers
     * @param tokens whether the parts are tokens of a model's stream
     */
    record StartResponse(int status, Map<String, String> headers, boolean tokens) implements RequestAction {}

    /**
     * Pass one part of the answer to the caller.
     *
     * @param position tokens or bytes before this part
     * @param data one token in UTF-8, or bytes
     */
    @SuppressWarnings("ArrayRecordComponent")
    record SendPart(long position, byte[] data) implements RequestAction {}

    /**
     * End an answer that was passed in parts and is complete; a model's stream ends with {@code [DONE]}.
     *
     * @param trailer what the server said at the end
     */
    record FinishResponse(String trailer) implements RequestAction {}

    /**
     * Give the caller the whole answer.
     *
     * @param status HTTP status
     * @param headers headers
     * @param parts tokens of a model's answer, or the body in pieces
     * @param tokens whether the parts are tokens
     * @param trailer what the server said at the end of a model's stream
     */
    record SendResponse(int status, Map<String, String> headers, List<byte[]> parts, boolean tokens, String trailer)
            implements RequestAction {}

    /**
     * End an answer that was started with an explicit error event and without the mark of completeness.
     *
     * @param error error
     */
    record EndWithError(ErrorResponse error) implements RequestAction {}

    /**
     * Refuse the request; no part of an answer was started.
     *
     * @param error error
     */
    record Refuse(ErrorResponse error) implements RequestAction {}

    /**
     * Tell the owner that the send began.
     *
     * @param owner owner
     * @param attempt attempt
     */
    record ReportStarted(RouterId owner, RequestAttempt attempt) implements RequestAction {}

    /**
     * Tell the owner what a request in flight produced.
     *
     * @param owner owner
     * @param attempt attempt
     * @param units service units since the last report
     * @param worstTokenIntervalMillis longest time between tokens since the last report
     */
    record ReportProgress(RouterId owner, RequestAttempt attempt, long units, int worstTokenIntervalMillis)
            implements RequestAction {}

    /**
     * Tell the owner that an attempt ended after its send was allowed.
     *
     * @param owner owner
     * @param attempt attempt
     * @param report what happened
     */
    record ReportFinished(RouterId owner, RequestAttempt attempt, EndReport report) implements RequestAction {}

    /**
     * Write the record of the request; the result comes back as {@link RequestEvent.RecordWritten}.
     *
     * @param sequence number of the write within the flow
     * @param write write
     */
    record WriteRecord(long sequence, RowWrite write) implements RequestAction {}

    /**
     * Read the record of the request; the result comes back as {@link RequestEvent.RecordRead}.
     *
     * @param sequence number of the read within the flow
     * @param key key of the row
     */
    record ReadRecord(long sequence, String key) implements RequestAction {}

    /**
     * Deliver {@link RequestEvent.TimerFired} at a time; replaces the former timer of the flow.
     *
     * @param atNanos time of the monotonic clock
     */
    record ScheduleTimer(long atNanos) implements RequestAction {}

    /**
     * Forget the flow: it needs no further events. A later grant for one of its attempts is answered with a withdrawal.
     */
    record Close() implements RequestAction {}
}
