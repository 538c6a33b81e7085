package org.coltsfootquay.decision.fairness;

import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Usage of one service by one workspace: an increment when it is drained from a dispatcher, a sum in a usage report.
 *
 * @param workspace workspace
 * @param service service
 * @param units service units; negative if an estimate was corrected downwards
 * @param backlogged whether the workspace has waiting requests
 */
public record WorkspaceUsage(WorkspaceId workspace, ServiceName service, long units, boolean backlogged) {}
