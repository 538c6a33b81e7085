package org.coltsfootquay.decision.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.coltsfootquay.decision.common.ServerName;

/** Emulated fleet whose servers crash by parts of prompts and for other reasons, with lost and late messages. */
final class QuarantineFleet {

    private static final long MILLI = Duration.ofMillis(1).toNanos();

    /** Time after the fifth crash in which all routers have to know the part: the shortest bound of the platform. */
    private static final long KNOWLEDGE_TIME = 3_000 * MILLI;

    private static final int DURATION_MILLIS = 30_000;
    private static final int GROUPS = 40;
    private static final int REQUESTS_PER_SERVER_AND_SECOND = 3;
    private static final double DEADLY_SHARE = 0.05;
    private static final double LOSS = 0.1;
    private static final int DOWN_MILLIS = 3000;
    private static final int BEACON_MILLIS = 200;
    private static final int MAX_DELAY_MILLIS = 100;

    /** Time after which a request that waits for the answer to another one is rejected. */
    private static final int MAX_WAIT_MILLIS = 2000;

    private static final int CHECK_MILLIS = 20;

    private final Random random;
    private final int routerCount;
    private final List<PartQuarantine> routers = new ArrayList<>();
    private final List<Long> outOfTouchUntil = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::time));
    private final int[] generation;
    private final long[] downUntil;
    private final int deadlyParts;
    private final int[] deadlyCrashes;
    private final long[] fifthCrash;
    private final int[] lateRequests;
    private final List<Running> running = new ArrayList<>();
    private final long start = Duration.ofHours(5).toNanos();
    private int soundRequests;
    private int rejectedSound;
    private int soundWaitedInVain;
    private double loss = LOSS;
    private long nextRequest = 1_000_000;
    private long now = start;

    QuarantineFleet(long seed, int routerCount, int serverCount, int deadlyParts) {
        this.random = new Random(seed);
        this.routerCount = routerCount;
        this.generation = new int[serverCount];
        this.downUntil = new long[serverCount];
        this.deadlyParts = deadlyParts;
        this.deadlyCrashes = new int[deadlyParts];
        this.fifthCrash = new long[deadlyParts];
        this.lateRequests = new int[deadlyParts];
        for (int i = 0; i < routerCount; i++) {
            routers.add(newRouter(i));
            outOfTouchUntil.add(start);
        }
    }

    private PartQuarantine newRouter(int index) {
        QuarantineListener listener = new QuarantineListener() {
            @Override
            public void quarantined(String parts, List<String> servers) {}

            @Override
            public void released(String parts) {}

            @Override
            public void newsAdded() {
                at(now + updateMillis() * MILLI, () -> tell(routers.get(index), false));
            }
        };
        return new PartQuarantine(listener, () -> routerCount, new Random(random.nextLong()));
    }

    /** Returns the time until news is sent, which grows with the fleet. */
    private int updateMillis() {
        return 3 + random.nextInt(15 + routerCount * 5 / 2);
    }

    /** Adds sound requests, as many as the servers can process. */
    QuarantineFleet withSoundRequests() {
        int gapMillis = Math.max(1, 1000 / (REQUESTS_PER_SERVER_AND_SECOND * generation.length));
        for (long time = start; time < end(); time += gapMillis * MILLI) {
            at(time, () -> sendSound(2));
        }
        return this;
    }

    /** Adds requests of which some have a part that crashes servers. */
    QuarantineFleet withSoundAndDeadlyRequests() {
        int gapMillis = Math.max(1, 1000 / (REQUESTS_PER_SERVER_AND_SECOND * generation.length));
        for (long time = start; time < end(); time += gapMillis * MILLI) {
            at(time, () -> {
                if (deadlyParts > 0 && random.nextDouble() < DEADLY_SHARE) {
                    sendDeadly(random.nextInt(deadlyParts), 2);
                } else {
                    sendSound(2);
                }
            });
        }
        return this;
    }

    /** Adds batches of requests with parts that crash servers, the first one after some seconds. */
    QuarantineFleet withBatches(int size, int spreadMillis, int intervalMillis, int attempts) {
        for (long time = start + 3_000 * MILLI; time < end(); time += intervalMillis * MILLI) {
            for (int i = 0; i < size; i++) {
                for (int part = 0; part < deadlyParts; part++) {
                    int deadly = part;
                    at(time + random.nextInt(spreadMillis + 1) * MILLI, () -> sendDeadly(deadly, attempts));
                }
            }
        }
        return this;
    }

    /** Lets a router see an answer to each part before the part begins to crash servers. */
    QuarantineFleet withPartsAnsweredBefore() {
        for (int part = 0; part < deadlyParts; part++) {
            routers.get(random.nextInt(routerCount)).recordAnswer(Set.of(new PartKey(part)), start);
        }
        return this;
    }

    /** Adds failures of a quarter of the servers, and crashes of single servers in between. */
    QuarantineFleet withOrdinaryCrashes() {
        for (int i = 0; i < 2; i++) {
            at(start + (2_000 + random.nextInt(20_000)) * MILLI, this::failZone);
        }
        for (int i = 0; i < 6; i++) {
            at(start + random.nextInt(DURATION_MILLIS) * MILLI, () -> crash(random.nextInt(generation.length)));
        }
        return this;
    }

    /** Adds restarts of routers, which know nothing of crashes until others tell them. */
    QuarantineFleet withRouterRestarts(int count) {
        for (int i = 0; i < count; i++) {
            int index = random.nextInt(routerCount);
            at(start + random.nextInt(DURATION_MILLIS) * MILLI, () -> {
                running.removeIf(request -> request.router == index);
                routers.set(index, newRouter(index));
                outOfTouchUntil.set(index, now + KNOWLEDGE_TIME);
            });
        }
        return this;
    }

    /** Adds an outage of all servers while sound requests with the same part, never answered before, wait at them. */
    QuarantineFleet withOutageOfAllServers(int waitingRequests, long part, int atMillis) {
        long time = start + atMillis * MILLI;
        for (int i = 0; i < waitingRequests; i++) {
            at(time - 10 * MILLI, () -> send(newRequest(-1, Set.of(new PartKey(part)), 2)));
        }
        at(time, () -> {
            for (int server = 0; server < generation.length; server++) {
                crash(server);
            }
        });
        return this;
    }

    /** Adds sound requests with the same part. */
    QuarantineFleet withSoundRequests(int count, long part, int atMillis, int spreadMillis) {
        for (int i = 0; i < count; i++) {
            at(start + (atMillis + random.nextInt(spreadMillis + 1)) * MILLI, () -> {
                soundRequests++;
                send(newRequest(-1, Set.of(new PartKey(part)), 1));
            });
        }
        return this;
    }

    /** Lets all messages arrive. */
    QuarantineFleet withoutLoss() {
        loss = 0;
        return this;
    }

    void play() {
        for (long time = start; time < end(); time += BEACON_MILLIS * MILLI) {
            at(time, () -> routers.forEach(sender -> tell(sender, true)));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = Math.max(now, event.time());
            event.action().run();
        }
    }

    /** Returns the requests with a part that reached servers after all routers had to know it, by the part. */
    int[] lateRequests() {
        return lateRequests;
    }

    int soundRequests() {
        return soundRequests;
    }

    /** Returns the number of sound requests that were rejected for good. */
    int rejectedSound() {
        return rejectedSound;
    }

    /** Returns the number of sound requests whose callers were told to return later. */
    int soundWaitedInVain() {
        return soundWaitedInVain;
    }

    private long end() {
        return start + DURATION_MILLIS * MILLI;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, action));
    }

    private void sendSound(int attempts) {
        soundRequests++;
        send(newRequest(-1, Set.of(), attempts));
    }

    private void sendDeadly(int part, int attempts) {
        send(newRequest(part, Set.of(new PartKey(part)), attempts));
    }

    private Running newRequest(int deadly, Set<PartKey> own, int attempts) {
        Set<PartKey> shared = new HashSet<>(Set.of(new PartKey(500), new PartKey(600 + random.nextInt(GROUPS))));
        if (!own.isEmpty() && deadly < 0) {
            shared.clear();
        }
        shared.addAll(own);
        return new Running(random.nextInt(routerCount), shared, nextRequest++, deadly, attempts);
    }

    private void send(Running request) {
        PartQuarantine router = routers.get(request.router);
        if (router.check(request.parts, now).isPresent()) {
            if (request.deadly < 0) {
                if (router.check(request.parts, now).get().settled()) {
                    rejectedSound++;
                } else {
                    soundWaitedInVain++;
                }
            }
            router.probeEnded(request.id);
            return;
        }
        int server = random.nextInt(generation.length);
        for (int i = 0; i < generation.length && downUntil[server] > now; i++) {
            server = (server + 1) % generation.length;
        }
        if (downUntil[server] > now) {
            router.probeEnded(request.id);
            return;
        }
        if (!router.tryProbe(request.id, request.sharedParts, now)) {
            waitForProbe(request);
            return;
        }
        boolean inTouch = outOfTouchUntil.get(request.router) <= now;
        if (request.deadly >= 0
                && inTouch
                && deadlyCrashes[request.deadly] >= 5
                && now - fifthCrash[request.deadly] > KNOWLEDGE_TIME) {
            lateRequests[request.deadly]++;
        }
        router.recordSent(request.parts, now);
        router.probeSent(request.id, now);
        request.sentNanos = now;
        request.waitingSince = 0;
        request.server = server;
        request.generation = generation[server];
        request.attempts--;
        running.add(request);
        at(now + (50 + random.nextInt(600)) * MILLI, () -> begin(request));
    }

    private void waitForProbe(Running request) {
        if (request.waitingSince == 0) {
            request.waitingSince = now;
        }
        if (now - request.waitingSince >= MAX_WAIT_MILLIS * MILLI) {
            routers.get(request.router).probeEnded(request.id);
            soundWaitedInVain += request.deadly < 0 ? 1 : 0;
        } else {
            at(now + CHECK_MILLIS * MILLI, () -> send(request));
        }
    }

    /** The server begins to answer. */
    private void begin(Running request) {
        if (!running.contains(request) || request.generation != generation[request.server]) {
            return;
        }
        if (request.deadly >= 0) {
            if (++deadlyCrashes[request.deadly] == 5) {
                fifthCrash[request.deadly] = now;
            }
            crash(request.server);
            return;
        }
        running.remove(request);
        PartQuarantine router = routers.get(request.router);
        router.recordAnswer(request.parts, now);
        router.probeEnded(request.id);
    }

    private void failZone() {
        for (int server = 0; server < generation.length; server += 4) {
            crash(server);
        }
    }

    private void crash(int server) {
        if (downUntil[server] > now) {
            return;
        }
        ServerName name = new ServerName("s" + server);
        int crashed = generation[server]++;
        downUntil[server] = now + DOWN_MILLIS * MILLI;
        List<Running> interrupted =
                running.stream().filter(request -> request.server == server).toList();
        running.removeAll(interrupted);
        for (Running request : interrupted) {
            Duration sinceSend = Duration.ofNanos(now - request.sentNanos);
            List<UnansweredPart> parts = request.parts.stream()
                    .map(part -> new UnansweredPart(part, new PartKey(request.id), sinceSend))
                    .toList();
            routers.get(request.router).recordCrash(new CrashReport(name, crashed, parts), now);
        }
        for (Running request : interrupted) {
            routers.get(request.router).probeEnded(request.id);
            if (request.attempts > 0) {
                at(now + 10 * MILLI, () -> send(request));
            }
        }
    }

    private void tell(PartQuarantine sender, boolean all) {
        if (!all && !sender.hasNews()) {
            return;
        }
        QuarantineNews news = sender.takeNews(all, now);
        if (news.isEmpty()) {
            return;
        }
        for (int i = 0; i < routerCount; i++) {
            int index = i;
            if (routers.get(index) != sender && random.nextDouble() >= loss) {
                long delay = random.nextInt(MAX_DELAY_MILLIS) * MILLI;
                at(now + delay, () -> routers.get(index).receive(news, now));
            }
        }
    }

    private record Event(long time, Runnable action) {}

    private static final class Running {

        private final int router;
        private final Set<PartKey> sharedParts;

        /** The shared parts and the last one. */
        private final Set<PartKey> parts;

        private final long id;
        private final int deadly;
        private int attempts;
        private long sentNanos;
        private long waitingSince;
        private int server;
        private int generation;

        private Running(int router, Set<PartKey> sharedParts, long id, int deadly, int attempts) {
            this.router = router;
            this.sharedParts = Set.copyOf(sharedParts);
            this.parts = new HashSet<>(sharedParts);
            this.parts.add(new PartKey(id));
            this.id = id;
            this.deadly = deadly;
            this.attempts = attempts;
        }
    }
}
