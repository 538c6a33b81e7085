package org.coltsfootquay.decision.quarantine;

/**
 * Reason for which a request must not be sent to any server.
 *
 * @param parts names of the quarantined parts of its prompt
 * @param crashes number of crashes that are attributed to them
 * @param settled false if the parts were quarantined so recently that an answer may still acquit them
 */
public record Rejection(String parts, int crashes, boolean settled) {}
