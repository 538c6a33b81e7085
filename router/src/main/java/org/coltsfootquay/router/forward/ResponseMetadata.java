package org.coltsfootquay.router.forward;

/**
 * Metadata from the headers of a server's response.
 *
 * @param requestId identifier of the request that the response belongs to, empty if the response has none or several
 * @param signed true if the response has the server's signature
 * @param notExecuted true if the server states that it did not execute the request and will not
 * @param contentEncoded true if the body has a content encoding applied to the server's original body
 * @param leaving true if the server states that it is about to stop
 */
public record ResponseMetadata(
        String requestId, boolean signed, boolean notExecuted, boolean contentEncoded, boolean leaving) {}
