package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ServerName;

/**
 * Shared prompt parts that were sent to a server, which is expected to cache them.
 *
 * @param server server
 * @param sharedPartsHash hash of the shared parts
 * @param tokens number of tokens of the shared parts
 */
public record PromptCacheUpdate(ServerName server, long sharedPartsHash, int tokens) {}
