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
        void inject(RequestWorld world, FakeCaller caller) {
            for (FakeOwner owner : world.owners) {
                boolean involved = owner.sent.stream().anyMatch(event -> of(event, caller)) || owner.sent.isEmpty();
                if (involved) {
                    owner.crash(world.now + Duration.ofSeconds(3).toNanos());
                    RequestEvent lost = new RequestEvent.OwnerLost(owner.id);
                    world.after(1, () -> world.first.deliver(caller.request.id(), lost));
                }
            }
        }
    },
    OWNER_REPLY_LATE {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.owners.forEach(
                    owner -> owner.slowUntil = world.now + Duration.ofSeconds(2).toNanos());
        }
    },
    OWNER_REPLIES_CROSSED {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            for (FakeOwner owner : world.owners) {
                List<RequestEvent.OfAttempt> former = new ArrayList<>(owner.sent);
                java.util.Collections.reverse(former);
                former.forEach(event -> world.first.deliver(event.attempt().request(), event));
            }
        }
    },
    REDIRECTED {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            FakeOwner one = world.owners.get(0);
            FakeOwner two = world.owners.get(1);
            attempts(one, caller).forEach(attempt -> one.redirect(world.first, attempt, two.id));
            attempts(two, caller).forEach(attempt -> two.redirect(world.first, attempt, one.id));
        }
    },
    GRANT_LAPSED {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.first.pausedUntil = world.now + Duration.ofMillis(700).toNanos();
        }
    },
    ZONE_OUT {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.leave(Set.of(world.servers.get(0).zone), Set.of());
        }
    },
    SERVER_OUT {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.leave(Set.of(), Set.of(world.servers.get(0).name, world.servers.get(1).name));
        }
    },
    CONNECT_REFUSED {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.servers.forEach(server ->
                    server.refusingUntil = world.now + Duration.ofMillis(30).toNanos());
        }
    },
    CONNECTION_BROKEN {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            boolean broke = false;
            for (FakeServer server : world.servers) {
                for (FakeServer.Connection connection : new ArrayList<>(server.connections)) {
                    if (connection.open && connection.written) {
                        broke = true;
                        world.first.breakConnection(server, connection);
                    }
                }
            }
            if (!broke) {
                world.servers.forEach(server -> server.breakNext = true);
            }
        }
    },
    SERVER_COLD {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            for (FakeServer server : world.servers.subList(0, 2)) {
                server.coldUntil = world.now + Duration.ofMillis(300).toNanos();
                server.held.clear();
                new ArrayList<>(server.connections).forEach(c -> world.first.breakConnection(server, c));
            }
        }
    },
    SERVER_FENCED {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.servers.forEach(world::fence);
        }
    },
    STORE_DOWN {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.storeDownUntil = world.now + Duration.ofSeconds(5).toNanos();
        }
    },
    RECORD_ANSWER_LOST {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.answersToLose = 2;
        }
    },
    RECORD_WRITE_DELAYED {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.writesToDelay = 1;
        }
    },
    CALLER_GONE {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            caller.leave("gone");
            world.first.deliver(caller.request.id(), new RequestEvent.CallerGone());
        }
    },
    CALLER_RETRIES_ELSEWHERE {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.call(world.second);
        }
    },
    ROUTER_RESTARTED {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.first.restart();
            world.after(50, () -> world.call(world.second));
        }
    },
    PREEMPTED {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.owners.forEach(
                    owner -> attempts(owner, caller).forEach(attempt -> owner.preempt(world.first, attempt)));
        }
    },
    ROUTER_CUT_OFF {
        @Override
        void inject(RequestWorld world, FakeCaller caller) {
            world.first.cutOffUntil = world.now + Duration.ofSeconds(2).toNanos();
        }
    };

    abstract void inject(RequestWorld world, FakeCaller caller);

    private static boolean of(RequestEvent.OfAttempt event, FakeCaller caller) {
        return event.attempt().request().equals(caller.request.id());
    }

    private static List<RequestAttempt> attempts(FakeOwner owner, FakeCaller caller) {
        RequestId id = caller.request.id();
        return owner.sent.stream()
                .map(RequestEvent.OfAttempt::attempt)
                .filter(attempt -> attempt.request().equals(id))
                .distinct()
                .toList();
    }
}
