package org.coltsfootquay.decision.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.ownership.OwnedServer;

/** Test fixture that runs one dispatcher with a manual clock. */
final class DispatchFixture {

    static final ServiceName SERVICE = new ServiceName("lm-ritning");
    static final RouterId SELF = new RouterId("r1");
    static final RouterId ENTRY_ROUTER = new RouterId("e1");
    static final ClassOfWorkName CLASS = new ClassOfWorkName("summary");

    final ServiceDispatcher dispatcher;
    final List<DispatchAction> actions = new ArrayList<>();
    final Map<String, Long> submittedUnits = new HashMap<>();
    long nowNanos = Duration.ofHours(1).toNanos();

    DispatchFixture(PolicyName policy) {
        dispatcher = new ServiceDispatcher(SERVICE, SELF, policy);
    }

    static OwnedServer server(String name, double share, boolean admitsWork, boolean stateUnknown) {
        return new OwnedServer(
                new ServerName(name),
                SERVICE,
                ServiceKind.MODEL,
                "127.0.0.1:9000",
                7,
                share,
                admitsWork,
                true,
                stateUnknown);
    }

    static RequestAttempt attempt(String id) {
        return new RequestAttempt(new RequestId(id), 1);
    }

    /** Makes the dispatcher own a single warm server with the given concurrency limit. */
    void ownServer(String name, int limit) {
        handle(new DispatchEvent.ServersChanged(List.of(server(name, 1, true, false))));
        setLimit(name, limit);
    }

    void setLimit(String name, int limit) {
        handle(new DispatchEvent.HandedOver(new HandoverState(new ServerName(name), limit, false, List.of())));
    }

    QueuedRequest request(String id, String workspace, long units, Duration deadline) {
        return request(attempt(id), workspace, units, deadline, Set.of());
    }

    QueuedRequest request(
            RequestAttempt attempt, String workspace, long units, Duration deadline, Set<ServerName> excluded) {
        return new QueuedRequest(
                attempt,
                ENTRY_ROUTER,
                new WorkspaceId(workspace),
                SERVICE,
                CLASS,
                units / 2,
                units - units / 2,
                nowNanos + deadline.toNanos(),
                nowNanos + Duration.ofMinutes(5).toNanos(),
                List.of(),
                excluded,
                false);
    }

    List<DispatchAction> submit(String id, String workspace, long units) {
        submittedUnits.put(id, units);
        return handle(new DispatchEvent.Submitted(request(id, workspace, units, Duration.ofSeconds(10))));
    }

    List<DispatchAction> handle(DispatchEvent event) {
        List<DispatchAction> newActions = dispatcher.handle(event, nowNanos);
        actions.addAll(newActions);
        return newActions;
    }

    List<DispatchAction> advance(Duration time) {
        nowNanos += time.toNanos();
        return handle(new DispatchEvent.Ticked());
    }

    List<DispatchAction> start(String id) {
        return handle(new DispatchEvent.SendStarted(attempt(id)));
    }

    List<DispatchAction> complete(String id, long units, long millis) {
        return handle(new DispatchEvent.Ended(
                attempt(id), new EndReport(EndReport.Outcome.COMPLETED, units, 100, 20, millis)));
    }

    /** Returns the ids of the requests granted so far, in order. */
    List<String> granted() {
        return actions.stream()
                .filter(action -> action instanceof DispatchAction.Granted)
                .map(action -> action.attempt().request().value())
                .toList();
    }

    static <T extends DispatchAction> T onlyAction(List<DispatchAction> actions, Class<T> type) {
        List<T> matching =
                actions.stream().filter(type::isInstance).map(type::cast).toList();
        if (matching.size() != 1) {
            throw new AssertionError("expected one " + type.getSimpleName() + " in " + actions);
        }
        return matching.get(0);
    }
}
