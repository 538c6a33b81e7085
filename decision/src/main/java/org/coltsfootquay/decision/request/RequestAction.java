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

/** Output of a {@link RequestFlow}. The actions must be carried out in order. */
public sealed interface RequestAction {

    /**
     * Queues the attempt at an owner. If the owner cannot be reached, {@link RequestEvent.OwnerLost} must follow.
     *
     * @param owner owner
     * @param attempt attempt
     * @param excludedServers servers that must not execute the attempt
     * @param resumed whether the attempt continues a stream that broke or was preempted
     * @param remainingToTarget time left until the target of the class is missed; may be negative
     * @param patience longest time that the attempt may wait
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
     * Withdraws an attempt from an owner; nothing was sent.
     *
     * @param owner owner
     * @param attempt attempt
     * @param reason reason, for logs
     */
    record WithdrawFromOwner(RouterId owner, RequestAttempt attempt, String reason) implements RequestAction {}

    /**
     * Sends a request to a server. Just before it writes the first byte, the client calls {@link RequestFlow#maySend};
     * exactly one of {@code SendStarted}, {@code SendAbandoned} and {@code ConnectFailed} follows.
     *
     * @param attempt attempt, sent as the request identifier
     * @param server server
     * @param address address, {@code host:port}
     * @param fencingNumber fencing number
     * @param continueFrom tokens that the caller already has; empty for a new request. Positions of parts include them
     */
    record SendToServer(
            RequestAttempt attempt, ServerName server, String address, long fencingNumber, List<String> continueFrom)
            implements RequestAction {}

    /**
     * Resumes the stream of an attempt on the engine that still holds it. The head, the parts from the position on and
     * the end follow, or {@code ConnectFailed} or {@code ConnectionBroken}.
     *
     * @param attempt attempt
     * @param server server
     * @param address address, {@code host:port}
     * @param fencingNumber fencing number
     * @param fromPosition position of the first missing token
     */
    record ResumeOnServer(
            RequestAttempt attempt, ServerName server, String address, long fencingNumber, long fromPosition)
            implements RequestAction {}

    /**
     * Cancels the attempt on the server, closes its connection and suppresses its further events.
     *
     * @param attempt attempt
     * @param server server
     * @param address address, {@code host:port}
     */
    record CancelOnServer(RequestAttempt attempt, ServerName server, String address) implements RequestAction {}

    /**
     * Starts the response to a caller that receives it in parts.
     *
     * @param status HTTP status
     * @param headers headers
     * @param tokens whether the parts are tokens of a model's stream
     */
    record StartResponse(int status, Map<String, String> headers, boolean tokens) implements RequestAction {}

    /**
     * Sends one part of the response to the caller.
     *
     * @param position number of tokens or bytes before this part
     * @param data one token in UTF-8, or bytes
     */
    @SuppressWarnings("ArrayRecordComponent")
    record SendPart(long position, byte[] data) implements RequestAction {}

    /**
     * Ends a complete response that was sent in parts; a model's stream ends with {@code [DONE]}.
     *
     * @param trailer finish reason and usage that the server sent at the end of a model's stream, empty if none
     */
    record FinishResponse(String trailer) implements RequestAction {}

    /**
     * Sends the whole response to the caller.
     *
     * @param status HTTP status
     * @param headers headers
     * @param parts tokens of a model's response, or the parts of the body
     * @param tokens whether the parts are tokens
     * @param trailer finish reason and usage that the server sent at the end of a model's stream, empty if none
     */
    record SendResponse(int status, Map<String, String> headers, List<byte[]> parts, boolean tokens, String trailer)
            implements RequestAction {}

    /**
     * Ends a response that was started with an error event and without the end marker.
     *
     * @param error error
     */
    record EndWithError(ErrorResponse error) implements RequestAction {}

    /**
     * Refuses the request; no response was started.
     *
     * @param error error
     */
    record Refuse(ErrorResponse error) implements RequestAction {}

    /**
     * Reports to the owner that the send started.
     *
     * @param owner owner
     * @param attempt attempt
     */
    record ReportStarted(RouterId owner, RequestAttempt attempt) implements RequestAction {}

    /**
     * Reports the progress of a request in flight to the owner.
     *
     * @param owner owner
     * @param attempt attempt
     * @param units service units since the last report
     * @param worstTokenIntervalMillis longest time between two tokens since the last report
     */
    record ReportProgress(RouterId owner, RequestAttempt attempt, long units, int worstTokenIntervalMillis)
            implements RequestAction {}

    /**
     * Reports to the owner that an attempt ended after its send was allowed.
     *
     * @param owner owner
     * @param attempt attempt
     * @param report outcome, service units and times of the attempt
     */
    record ReportFinished(RouterId owner, RequestAttempt attempt, EndReport report) implements RequestAction {}

    /**
     * Writes the idempotency record of the request; {@link RequestEvent.RecordWritten} returns the result.
     *
     * @param sequence number of the write within the flow
     * @param write write operation
     */
    record WriteRecord(long sequence, RowWrite write) implements RequestAction {}

    /**
     * Reads the idempotency record of the request; {@link RequestEvent.RecordRead} returns the result.
     *
     * @param sequence number of the read within the flow
     * @param key row key
     */
    record ReadRecord(long sequence, String key) implements RequestAction {}

    /**
     * Schedules {@link RequestEvent.TimerFired} and replaces the previous timer of the flow.
     *
     * @param atNanos time of the monotonic clock
     */
    record ScheduleTimer(long atNanos) implements RequestAction {}

    /**
     * Closes the flow, which needs no further events. A later grant for one of its attempts must be withdrawn.
     */
    record Close() implements RequestAction {}
}
