package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;

/** Faults that are injected at a step of the first caller's request. */
enum RequestFault {
    OWNER_LOST {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            for (FakeOwner owner : simulation.owners) {
                boolean involved = owner.sentEvents.stream().anyMatch(event -> belongsTo(event, caller))
                        || owner.sentEvents.isEmpty();
                if (involved) {
                    owner.crash(simulation.nowNanos + Duration.ofSeconds(3).toNanos());
                    RequestEvent lost = new RequestEvent.OwnerLost(owner.id);
                    simulation.schedule(1, () -> simulation.firstRouter.deliver(caller.request.id(), lost));
                }
            }
        }
    },
    OWNER_REPLY_LATE {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.owners.forEach(owner -> owner.slowUntilNanos =
                    simulation.nowNanos + Duration.ofSeconds(2).toNanos());
        }
    },
    OWNER_REPLIES_CROSSED {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            for (FakeOwner owner : simulation.owners) {
                List<RequestEvent.AttemptEvent> former = new ArrayList<>(owner.sentEvents);
                java.util.Collections.reverse(former);
                former.forEach(
                        event -> simulation.firstRouter.deliver(event.attempt().request(), event));
            }
        }
    },
    REDIRECTED {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            FakeOwner one = simulation.owners.get(0);
            FakeOwner two = simulation.owners.get(1);
            attempts(one, caller).forEach(attempt -> one.redirect(simulation.firstRouter, attempt, two.id));
            attempts(two, caller).forEach(attempt -> two.redirect(simulation.firstRouter, attempt, one.id));
        }
    },
    GRANT_LAPSED {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.firstRouter.pausedUntilNanos =
                    simulation.nowNanos + Duration.ofMillis(700).toNanos();
        }
    },
    ZONE_OUT {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.setLeaving(Set.of(simulation.servers.get(0).zone), Set.of());
        }
    },
    SERVER_OUT {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.setLeaving(Set.of(), Set.of(simulation.servers.get(0).name, simulation.servers.get(1).name));
        }
    },
    CONNECT_REFUSED {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.servers.forEach(server -> server.refusingUntilNanos =
                    simulation.nowNanos + Duration.ofMillis(30).toNanos());
        }
    },
    CONNECTION_BROKEN {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            boolean broke = false;
            for (FakeServer server : simulation.servers) {
                for (FakeServer.Connection connection : new ArrayList<>(server.connections)) {
                    if (connection.open && connection.written) {
                        broke = true;
                        simulation.firstRouter.breakConnection(server, connection);
                    }
                }
            }
            if (!broke) {
                simulation.servers.forEach(server -> server.breakNextConnection = true);
            }
        }
    },
    SERVER_COLD {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            for (FakeServer server : simulation.servers.subList(0, 2)) {
                server.coldUntilNanos =
                        simulation.nowNanos + Duration.ofMillis(300).toNanos();
                server.resumableStreams.clear();
                new ArrayList<>(server.connections)
                        .forEach(connection -> simulation.firstRouter.breakConnection(server, connection));
            }
        }
    },
    SERVER_FENCED {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.servers.forEach(simulation::fence);
        }
    },
    STORE_DOWN {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.storeDownUntilNanos =
                    simulation.nowNanos + Duration.ofSeconds(5).toNanos();
        }
    },
    RECORD_ANSWER_LOST {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.writeResponsesToLose = 2;
        }
    },
    RECORD_WRITE_DELAYED {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.writesToDelay = 1;
        }
    },
    CALLER_GONE {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            caller.disconnect("gone");
            simulation.firstRouter.deliver(caller.request.id(), new RequestEvent.CallerDisconnected());
        }
    },
    CALLER_RETRIES_ELSEWHERE {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.submitRequest(simulation.secondRouter);
        }
    },
    ROUTER_RESTARTED {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.firstRouter.restart();
            simulation.schedule(50, () -> simulation.submitRequest(simulation.secondRouter));
        }
    },
    PREEMPTED {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.owners.forEach(owner ->
                    attempts(owner, caller).forEach(attempt -> owner.preempt(simulation.firstRouter, attempt)));
        }
    },
    ROUTER_CUT_OFF {
        @Override
        void inject(RequestSimulation simulation, FakeCaller caller) {
            simulation.firstRouter.isolatedUntilNanos =
                    simulation.nowNanos + Duration.ofSeconds(2).toNanos();
        }
    };

    abstract void inject(RequestSimulation simulation, FakeCaller caller);

    private static boolean belongsTo(RequestEvent.AttemptEvent event, FakeCaller caller) {
        return event.attempt().request().equals(caller.request.id());
    }

    private static List<RequestAttempt> attempts(FakeOwner owner, FakeCaller caller) {
        RequestId id = caller.request.id();
        return owner.sentEvents.stream()
                .map(RequestEvent.AttemptEvent::attempt)
                .filter(attempt -> attempt.request().equals(id))
                .distinct()
                .toList();
    }
}
