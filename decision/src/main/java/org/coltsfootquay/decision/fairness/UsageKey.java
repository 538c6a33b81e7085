package org.coltsfootquay.decision.fairness;

import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * What a usage counter belongs to.
 *
 * @param workspace workspace
 * @param service service
 */
public record UsageKey(WorkspaceId workspace, ServiceName service) {}
