package org.coltsfootquay.router.forward;

/**
 * What the headers of a server's answer say.
 *
 * @param requestId identifier of the request that is answered, empty if the answer names none
 * @param signed true if the answer has the server's signature
 * @param notExecuted true if the server says that it did not run the request and will not
 * @param contentEncoded true if the body is not the server's own body but an encoding of it
 */
public record ResponseMetadata(String requestId, boolean signed, boolean notExecuted, boolean contentEncoded) {}
