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
        void inject(RequestSimulation world, FakeCaller caller) {
            for (FakeOwner owner : world.owners) {
                boolean involved = owner.sentEvents.stream().anyMatch(event -> of(event, caller)) || owner.sentEvents.isEmpty();
                if (involved) {
                    owner.crash(world.nowNanos + Duration.ofSeconds(3).toNanos());
                    RequestEvent lost = new RequestEvent.OwnerLost(owner.id);
                    world.schedule(1, () -> world.firstRouter.deliver(caller.request.id(), lost));
                }
            }
        }
    },
    OWNER_REPLY_LATE {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.owners.forEach(
                    owner -> owner.slowUntilNanos = world.nowNanos + Duration.ofSeconds(2).toNanos());
        }
    },
    OWNER_REPLIES_CROSSED {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            for (FakeOwner owner : world.owners) {
                List<RequestEvent.AttemptEvent> former = new ArrayList<>(owner.sentEvents);
                java.util.Collections.reverse(former);
                former.forEach(event -> world.firstRouter.deliver(event.attempt().request(), event));
            }
        }
    },
    REDIRECTED {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            FakeOwner one = world.owners.get(0);
            FakeOwner two = world.owners.get(1);
            attempts(one, caller).forEach(attempt -> one.redirect(world.firstRouter, attempt, two.id));
            attempts(two, caller).forEach(attempt -> two.redirect(world.firstRouter, attempt, one.id));
        }
    },
    GRANT_LAPSED {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.firstRouter.pausedUntilNanos = world.nowNanos + Duration.ofMillis(700).toNanos();
        }
    },
    ZONE_OUT {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.setLeaving(Set.of(world.servers.get(0).zone), Set.of());
        }
    },
    SERVER_OUT {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.setLeaving(Set.of(), Set.of(world.servers.get(0).name, world.servers.get(1).name));
        }
    },
    CONNECT_REFUSED {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.servers.forEach(server ->
                    server.refusingUntilNanos = world.nowNanos + Duration.ofMillis(30).toNanos());
        }
    },
    CONNECTION_BROKEN {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            boolean broke = false;
            for (FakeServer server : world.servers) {
                for (FakeServer.Connection connection : new ArrayList<>(server.connections)) {
                    if (connection.open && connection.written) {
                        broke = true;
                        world.firstRouter.breakConnection(server, connection);
                    }
                }
            }
            if (!broke) {
                world.servers.forEach(server -> server.breakNextConnection = true);
            }
        }
    },
    SERVER_COLD {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            for (FakeServer server : world.servers.subList(0, 2)) {
                server.coldUntilNanos = world.nowNanos + Duration.ofMillis(300).toNanos();
                server.resumableStreams.clear();
                new ArrayList<>(server.connections).forEach(c -> world.firstRouter.breakConnection(server, c));
            }
        }
    },
    SERVER_FENCED {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.servers.forEach(world::fence);
        }
    },
    STORE_DOWN {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.storeDownUntilNanos = world.nowNanos + Duration.ofSeconds(5).toNanos();
        }
    },
    RECORD_ANSWER_LOST {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.writeResponsesToLose = 2;
        }
    },
    RECORD_WRITE_DELAYED {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.writesToDelay = 1;
        }
    },
    CALLER_GONE {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            caller.disconnect("gone");
            world.firstRouter.deliver(caller.request.id(), new RequestEvent.CallerDisconnected());
        }
    },
    CALLER_RETRIES_ELSEWHERE {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.submitRequest(world.secondRouter);
        }
    },
    ROUTER_RESTARTED {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.firstRouter.restart();
            world.schedule(50, () -> world.submitRequest(world.secondRouter));
        }
    },
    PREEMPTED {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.owners.forEach(
                    owner -> attempts(owner, caller).forEach(attempt -> owner.preempt(world.firstRouter, attempt)));
        }
    },
    ROUTER_CUT_OFF {
        @Override
        void inject(RequestSimulation world, FakeCaller caller) {
            world.firstRouter.cutOffUntilNanos = world.nowNanos + Duration.ofSeconds(2).toNanos();
        }
    };

    abstract void inject(RequestSimulation world, FakeCaller caller);

    private static boolean of(RequestEvent.AttemptEvent event, FakeCaller caller) {
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
