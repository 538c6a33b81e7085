package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ServerName;

/**
 * Shared prompt parts that a server was given to read.
 *
 * @param server server
 * @param sharedKey key of the parts
 * @param tokens tokens of the parts
 */
public record PromptCacheUpdate(ServerName server, long sharedKey, int tokens) {}
