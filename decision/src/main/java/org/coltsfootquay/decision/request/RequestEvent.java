package org.coltsfootquay.decision.request;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.dispatch.RefusalCode;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.WriteResult;

/** Input of a {@link RequestFlow}. Events of an attempt other than the current one have no effect on the caller. */
public sealed interface RequestEvent {

    /** Event of one attempt; it has no effect on the caller unless the attempt is the current one. */
    sealed interface AttemptEvent extends RequestEvent {

        /**
         * Returns the attempt.
         *
         * @return attempt
         */
        RequestAttempt attempt();
    }

    /** The caller's request was admitted; the first event of a flow. */
    record Admitted() implements RequestEvent {}

    /**
     * The owner queued the attempt.
     *
     * @param attempt attempt
     * @param estimatedWait estimated waiting time of the attempt
     */
    record OwnerQueued(RequestAttempt attempt, Duration estimatedWait) implements AttemptEvent {}

    /**
     * The owner granted the attempt a server.
     *
     * @param owner owner that granted the attempt
     * @param attempt attempt
     * @param server server
     * @param address address of the server, {@code host:port}
     * @param fencingNumber fencing number to send with the request
     * @param startTimeout time within which the send must start, measured from this event
     * @param estimatedWait estimated waiting time of a request queued now
     */
    record OwnerGranted(
            RouterId owner,
            RequestAttempt attempt,
            ServerName server,
            String address,
            long fencingNumber,
            Duration startTimeout,
            Duration estimatedWait)
            implements AttemptEvent {}

    /**
     * The owner refused the attempt; it was not started.
     *
     * @param attempt attempt
     * @param code reason
     * @param retryAfter time after which a retry may succeed
     */
    record OwnerRefused(RequestAttempt attempt, RefusalCode code, Duration retryAfter) implements AttemptEvent {}

    /**
     * The owner removed the attempt from its queue and redirected it to another owner.
     *
     * @param attempt attempt
     * @param newOwner owner to queue the request at
     */
    record OwnerRedirected(RequestAttempt attempt, RouterId newOwner) implements AttemptEvent {}

    /**
     * The owner preempted the attempt and reassigns its server.
     *
     * @param attempt attempt
     */
    record OwnerPreempted(RequestAttempt attempt) implements AttemptEvent {}

    /**
     * The connection to an owner was lost or could not be established.
     *
     * @param owner owner
     */
    record OwnerLost(RouterId owner) implements RequestEvent {}

    /**
     * A server has a new owner, which receives the reports on requests in flight on the server from now on.
     *
     * @param server server
     * @param owner new owner
     */
    record ServerOwnerChanged(ServerName server, RouterId owner) implements RequestEvent {}

    /**
     * The client started to write the request to the server, after {@link RequestFlow#maySend} returned true.
     *
     * @param attempt attempt
     */
    record SendStarted(RequestAttempt attempt) implements AttemptEvent {}

    /**
     * {@link RequestFlow#maySend} returned false; no byte was written and none will be.
     *
     * @param attempt attempt
     */
    record SendAbandoned(RequestAttempt attempt) implements AttemptEvent {}

    /**
     * The status and the headers of the response were received.
     *
     * @param attempt attempt
     * @param status HTTP status
     * @param headers headers to forward to the caller
     */
    record HeadReceived(RequestAttempt attempt, int status, Map<String, String> headers) implements AttemptEvent {}

    /**
     * One token of a model's stream, or some bytes of any other response, was received.
     *
     * @param attempt attempt
     * @param position number of tokens (model stream) or bytes before this part in the whole response, including tokens
     *     sent with {@code continue_from}
     * @param data text of one token in UTF-8, or bytes; must not be modified afterwards
     */
    @SuppressWarnings("ArrayRecordComponent")
    record PartReceived(RequestAttempt attempt, long position, byte[] data) implements AttemptEvent {}

    /**
     * The server completed the response: last chunk, full content length, or the end marker of a stream.
     *
     * @param attempt attempt
     * @param total number of tokens or bytes of the whole response as reported by the server, or -1 if it reports none
     * @param trailer finish reason and usage that the server sent at the end of a stream, empty if none
     */
    record ResponseEnded(RequestAttempt attempt, long total, String trailer) implements AttemptEvent {}

    /**
     * The server reported that it did not execute the request.
     *
     * @param attempt attempt
     * @param reason reason given by the server
     */
    record ServerDeclined(RequestAttempt attempt, Reason reason) implements AttemptEvent {

        /** Reasons for which a server does not execute a request. */
        public enum Reason {
            /** The server is still starting: status 503 with code {@code cold}. */
            COLD,
            /** The fencing number is outdated: status 409 with code {@code fenced}. */
            FENCED
        }
    }

    /**
     * The server reported an error inside a stream.
     *
     * @param attempt attempt
     * @param detail error message of the server
     */
    record StreamFailed(RequestAttempt attempt, String detail) implements AttemptEvent {}

    /**
     * No connection could be established, or it broke before any byte of the request was written.
     *
     * @param attempt attempt
     */
    record ConnectFailed(RequestAttempt attempt) implements AttemptEvent {}

    /**
     * The connection broke after bytes of the request were written and before the response ended.
     *
     * @param attempt attempt
     */
    record ConnectionBroken(RequestAttempt attempt) implements AttemptEvent {}

    /**
     * The write of {@link RequestAction.WriteRecord} completed.
     *
     * @param sequence number of the write
     * @param result result
     */
    record RecordWritten(long sequence, WriteResult result) implements RequestEvent {}

    /**
     * The read of {@link RequestAction.ReadRecord} completed.
     *
     * @param sequence number of the read
     * @param result row, empty if it does not exist, or the failure
     */
    record RecordRead(long sequence, Either<StoreException, Optional<Row>> result) implements RequestEvent {}

    /** The caller's connection closed before the response was complete. */
    record CallerDisconnected() implements RequestEvent {}

    /** The timer of the latest {@link RequestAction.ScheduleTimer} fired; safe to deliver at any other time. */
    record TimerFired() implements RequestEvent {}
}
