package org.coltsfootquay.decision.fairness;

import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Key of a usage counter.
 *
 * @param workspace workspace
 * @param service service
 */
public record UsageKey(WorkspaceId workspace, ServiceName service) {}
