package org.coltsfootquay.decision.fairness;

import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Service that one workspace received since the last drain.
 *
 * @param workspace workspace
 * @param service service
 * @param units service units; negative when an estimate was corrected downwards
 * @param backlogged whether the workspace has requests waiting
 */
public record WorkspaceUsage(WorkspaceId workspace, ServiceName service, long units, boolean backlogged) {}
