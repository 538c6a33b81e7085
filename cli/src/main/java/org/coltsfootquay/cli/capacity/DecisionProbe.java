package org.coltsfootquay.cli.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.dispatch.DispatchAction;
import org.coltsfootquay.decision.dispatch.DispatchEvent;
import org.coltsfootquay.decision.dispatch.EndReport;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.coltsfootquay.decision.dispatch.QueuedRequest;
import org.coltsfootquay.decision.dispatch.ServiceDispatcher;
import org.coltsfootquay.decision.ownership.OwnedServer;

/** Measures the time of one dispatch decision over workspaces and servers: one request arrives, one ends. */
final class DecisionProbe {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final RouterId SELF = new RouterId("router");
    private static final int DECISIONS = 20_000;
    private static final long STEP_NANOS = Duration.ofMillis(1).toNanos();
    private static final double TARGET_WORKSPACES = 290;

    /** A daemon owns 4.1 servers in the mean; 16 is a generous largest number. */
    private static final double TARGET_SERVERS = 16;

    private DecisionProbe() {}

    static List<Slope> measure() {
        run(64, 8);
        List<Slope.Point> byWorkspaces = new ArrayList<>();
        for (int workspaces : new int[] {16, 64, 290, 3_000}) {
            byWorkspaces.add(new Slope.Point(workspaces, run(workspaces, 4)));
        }
        List<Slope.Point> byServers = new ArrayList<>();
        for (int servers : new int[] {8, 64, 256, 1_600}) {
            byServers.add(new Slope.Point(servers, run(290, servers)));
        }
        return List.of(
                new Slope("dispatch decision", "workspaces (4 servers)", "µs", byWorkspaces, TARGET_WORKSPACES),
                new Slope("dispatch decision", "servers (290 workspaces)", "µs", byServers, TARGET_SERVERS));
    }

    private static double run(int workspaces, int servers) {
        ServiceDispatcher dispatcher = new ServiceDispatcher(SERVICE, SELF, PolicyName.FLEET);
        List<OwnedServer> owned = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            owned.add(new OwnedServer(
                    new ServerName("engine-" + i), SERVICE, ServiceKind.MODEL, "127.0.0.1:1", 1, 1, true, true, false));
        }
        dispatcher.handle(new DispatchEvent.ServersChanged(owned), 0);
        List<RequestAttempt> running = new ArrayList<>();
        long now = STEP_NANOS;
        for (int i = 0; i < 4 * workspaces; i++) {
            note(dispatcher.handle(submitted(i, workspaces, now), now), running);
        }
        int next = 0;
        long begin = System.nanoTime();
        for (int i = 0; i < DECISIONS; i++) {
            now += STEP_NANOS;
            note(dispatcher.handle(submitted(4 * workspaces + i, workspaces, now), now), running);
            RequestAttempt attempt = running.get(next++);
            dispatcher.handle(new DispatchEvent.SendStarted(attempt), now);
            EndReport end = new EndReport(EndReport.Outcome.COMPLETED, 1_500, 200, 40, 28_000);
            note(dispatcher.handle(new DispatchEvent.Ended(attempt, end), now), running);
        }
        return (System.nanoTime() - begin) / 1e3 / DECISIONS;
    }

    private static void note(List<DispatchAction> actions, List<RequestAttempt> running) {
        for (DispatchAction action : actions) {
            if (action instanceof DispatchAction.Granted granted) {
                running.add(granted.attempt());
            }
        }
    }

    private static DispatchEvent submitted(int number, int workspaces, long now) {
        return new DispatchEvent.Submitted(new QueuedRequest(
                new RequestAttempt(new RequestId("request-" + number), 1),
                SELF,
                new WorkspaceId("workspace-" + number % workspaces),
                SERVICE,
                new ClassOfWorkName("class"),
                500,
                960,
                now + Duration.ofMinutes(15).toNanos(),
                now + Duration.ofHours(1).toNanos(),
                List.of(),
                Set.of(),
                false));
    }
}
