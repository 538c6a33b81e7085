package org.coltsfootquay.decision.dispatch;

import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Request that is in flight on a server and was granted by a previous owner.
 *
 * @param attempt attempt
 * @param entryRouter router that has the caller's connection
 * @param workspace workspace
 * @param classOfWork class of work
 * @param chargedUnits service units charged so far
 */
public record InFlightEntry(
        RequestAttempt attempt,
        RouterId entryRouter,
        WorkspaceId workspace,
        ClassOfWorkName classOfWork,
        long chargedUnits) {}
