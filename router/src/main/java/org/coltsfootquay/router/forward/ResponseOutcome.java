package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Set;

/** What a complete response of a server means for the request. */
enum ResponseOutcome {
    /** The server has processed the request. */
    PROCESSED,

    /** The server states that it did not execute the request and will not. */
    NOT_EXECUTED,

    /** The status tells callers that the request was not executed, but the server has not said so. */
    UNCONFIRMED_REFUSAL,

    /** The server has failed. */
    SERVER_ERROR;

    /** Statuses that tell a caller that its request was not executed; passed on only if the server has said so. */
    private static final Set<HttpResponseStatus> PROMISED_NOT_RUN = Set.of(
            HttpResponseStatus.REQUEST_TIMEOUT,
            HttpResponseStatus.TOO_MANY_REQUESTS,
            HttpResponseStatus.SERVICE_UNAVAILABLE);

    static ResponseOutcome of(HttpResponseStatus status, ResponseMetadata metadata) {
        if (metadata.notExecuted() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            return NOT_EXECUTED;
        }
        if (PROMISED_NOT_RUN.contains(status)) {
            return UNCONFIRMED_REFUSAL;
        }
        return status.codeClass() == HttpStatusClass.SERVER_ERROR ? SERVER_ERROR : PROCESSED;
    }
}
