package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * What a connection to a server has carried, for the log; contains neither bodies nor header values but request ids.
 *
 * @param connection number of the connection, unique in this process
 * @param requests requests sent on the connection, including the current one
 * @param receivedBytes bytes received since the current request was sent
 * @param otherResponses responses to other requests received since the current request was sent
 * @param otherRequest id that the last response to another request bears, empty if there was none
 * @param defect reason why the response cannot be read, empty if it can
 */
record ConnectionTrace(
        long connection, int requests, long receivedBytes, int otherResponses, String otherRequest, String defect) {

    /** Maximum length of a text that a server may influence. */
    private static final int MAX_TEXT_LENGTH = 80;

    /** Validates the values and shortens texts. */
    ConnectionTrace {
        ArgumentUtils.requireValue(otherRequest, "otherRequest");
        ArgumentUtils.requireValue(defect, "defect");
        otherRequest = shorten(otherRequest);
        defect = shorten(defect);
    }

    private static String shorten(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }
}
