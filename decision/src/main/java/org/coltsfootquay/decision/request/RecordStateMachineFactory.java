package org.coltsfootquay.decision.request;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.idempotency.RecordOwner;
import org.coltsfootquay.decision.idempotency.RecordStateMachine;
import org.coltsfootquay.decision.membership.Member;

/** Creates the record machines of flows. */
final class RecordStateMachineFactory {

    private RecordStateMachineFactory() {}

    static RecordStateMachine create(CallerRequest request, RequestEnvironment environment) {
        CallerRequest.IdempotencyKey key = request.idempotency().orElseThrow();
        RecordOwner owner = new RecordOwner(
                RecordOwner.rowKey(request.workspace(), key.key()),
                request.id().value(),
                key.digest(),
                environment.self(),
                environment.incarnation());
        return new RecordStateMachine(owner, (router, incarnation) -> isAlive(environment, router, incarnation));
    }

    private static boolean isAlive(RequestEnvironment environment, RouterId router, long incarnation) {
        if (router.equals(environment.self())) {
            return incarnation == environment.incarnation();
        }
        Member member = environment.membership().members().get(router);
        return member != null && member.incarnation() == incarnation;
    }
}
