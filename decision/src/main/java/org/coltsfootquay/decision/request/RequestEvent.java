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

/** Input of a {@link RequestFlow}. Events about an attempt other than the current one have no effect on the caller. */
public sealed interface RequestEvent {

    /** Event about one attempt; it has no effect on the caller unless the attempt is the current one. */
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
     * The owner put the attempt into its queue.
     *
     * @param attempt attempt
     * @param estimatedWait estimated waiting time
     */
    record OwnerQueued(RequestAttempt attempt, Duration estimatedWait) implements AttemptEvent {}

    /**
     * The owner granted the start on a server.
     *
     * @param owner owner that granted
     * @param attempt attempt
     * @param server server
     * @param address address of the server, {@code host:port}
     * @param fencingNumber fencing number to send with the request
     * @param startTimeout time within which the send must start, counted from this event
     * @param estimatedWait waiting time that a request queued now would see
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
     * @param retryAfter time after which a retry has a chance
     */
    record OwnerRefused(RequestAttempt attempt, RefusalCode code, Duration retryAfter) implements AttemptEvent {}

    /**
     * The owner dropped the attempt from its queue in favour of another owner.
     *
     * @param attempt attempt
     * @param newOwner other owner
     */
    record OwnerRedirected(RequestAttempt attempt, RouterId newOwner) implements AttemptEvent {}

    /**
     * The owner takes the server away from the attempt.
     *
     * @param attempt attempt
     */
    record OwnerPreempted(RequestAttempt attempt) implements AttemptEvent {}

    /**
     * The connection to an owner was lost or could not be made.
     *
     * @param owner owner
     */
    record OwnerLost(RouterId owner) implements RequestEvent {}

    /**
     * A server has a new owner; what is in flight on it is reported there from now on.
     *
     * @param server server
     * @param owner new owner
     */
    record ServerOwnerChanged(ServerName server, RouterId owner) implements RequestEvent {}

    /**
     * The client began to write the request to the server, after {@link RequestFlow#maySend} returned true.
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
     * The status and the headers of the answer arrived.
     *
     * @param attempt attempt
     * @param status HTTP status
     * @param headers headers to pass on
     */
    record HeadReceived(RequestAttempt attempt, int status, Map<String, String> headers) implements AttemptEvent {}

    /**
     * One token of a model's stream, or some bytes of any other answer.
     *
     * @param attempt attempt
     * @param position number of tokens (model stream) or bytes before this part in the whole answer, tokens sent with
     *     {@code continue_from} included
     * @param data text of one token in UTF-8, or bytes; not changed afterwards
     */
    @SuppressWarnings("ArrayRecordComponent")
    record PartReceived(RequestAttempt attempt, long position, byte[] data) implements AttemptEvent {}

    /**
     * The server ended the answer properly: last chunk, full content length, or the end mark of a stream.
     *
     * @param attempt attempt
     * @param total tokens or bytes of the whole answer as the server counts them, or -1 if it does not say
     * @param trailer what the server said at the end of a stream (finish reason and usage), empty if nothing
     */
    record ResponseEnded(RequestAttempt attempt, long total, String trailer) implements AttemptEvent {}

    /**
     * The server stated that it did not run the request.
     *
     * @param attempt attempt
     * @param reason why
     */
    record ServerDeclined(RequestAttempt attempt, Reason reason) implements AttemptEvent {

        /** Statements of a server that did not run a request. */
        public enum Reason {
            /** 503 with code {@code cold}. */
            COLD,
            /** 409 with code {@code fenced}. */
            FENCED
        }
    }

    /**
     * The server reported an error inside a stream.
     *
     * @param attempt attempt
     * @param detail message of the server
     */
    record StreamFailed(RequestAttempt attempt, String detail) implements AttemptEvent {}

    /**
     * No connection could be made, or it broke before any byte of the request was written.
     *
     * @param attempt attempt
     */
    record ConnectFailed(RequestAttempt attempt) implements AttemptEvent {}

    /**
     * The connection broke after bytes of the request were written and before the answer ended.
     *
     * @param attempt attempt
     */
    record ConnectionBroken(RequestAttempt attempt) implements AttemptEvent {}

    /**
     * Result of {@link RequestAction.WriteRecord}.
     *
     * @param sequence number of the write
     * @param result result
     */
    record RecordWritten(long sequence, WriteResult result) implements RequestEvent {}

    /**
     * Result of {@link RequestAction.ReadRecord}.
     *
     * @param sequence number of the read
     * @param result row, empty when it does not exist, or the failure
     */
    record RecordRead(long sequence, Either<StoreException, Optional<Row>> result) implements RequestEvent {}

    /** The caller's connection closed before its answer was complete. */
    record CallerDisconnected() implements RequestEvent {}

    /** Time passed; due at the time of the newest {@link RequestAction.ScheduleTimer}, harmless at any other. */
    record TimerFired() implements RequestEvent {}
}
