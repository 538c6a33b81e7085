package org.coltsfootquay.decision.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.junit.jupiter.api.Test;

/** Guards against prompts that are read again on many engines, and against queues while other engines are free. */
final class PromptLocalitySelectorTest {

    private static final ZoneName ZONE = new ZoneName("zone");
    private static final long MEMORY = 500_000;
    private static final int SHARED = 13_300;
    private static final int OWN = 3_700;

    private final LoadTracker loads = new LoadTracker();
    private final PromptCacheView caches = new PromptCacheView();
    private final ServerHealth health = new ServerHealth();
    private final PromptLocalitySelector selector = new PromptLocalitySelector(ZONE, loads, caches, health, MEMORY);

    @Test
    void orderOfTheServersDoesNotMatter() {
        List<BackendEntry> servers = new ArrayList<>(servers(6));
        ServerName first = choose(servers, prompt("a")).entry().server();
        Collections.reverse(servers);
        assertEquals(first, choose(servers, prompt("a")).entry().server());
    }

    @Test
    void serverThatKeepsTheSharedPartIsPreferred() {
        List<BackendEntry> servers = servers(6);
        ServerName home = choose(servers, prompt("a")).entry().server();
        ServerName other = servers.stream()
                .map(BackendEntry::server)
                .filter(server -> !server.equals(home))
                .findFirst()
                .orElseThrow();
        caches.recordRead(other, prompt("a").sharedPartsHash(), SHARED, MEMORY);
        SelectedServer choice = choose(servers, prompt("a"));
        assertEquals(other, choice.entry().server());
        assertEquals(OWN, choice.prefillTokens());
    }

    @Test
    void longQueueAtTheKeeperIsLeft() {
        List<BackendEntry> servers = servers(6);
        ServerName keeper = servers.get(0).server();
        caches.recordRead(keeper, prompt("a").sharedPartsHash(), SHARED, MEMORY);
        loads.addLocal(keeper, new ServerLoad(20, 100_000, 0));
        assertNotEquals(keeper, choose(servers, prompt("a")).entry().server());
    }

    @Test
    void shortQueueAtTheKeeperIsNotLeft() {
        List<BackendEntry> servers = servers(6);
        ServerName keeper = servers.get(0).server();
        caches.recordRead(keeper, prompt("a").sharedPartsHash(), SHARED, MEMORY);
        loads.addLocal(keeper, new ServerLoad(5, 20_000, 0));
        assertEquals(keeper, choose(servers, prompt("a")).entry().server());
    }

    /** Counting a shared part once for each request made engines look full at 25 requests, and its homes were left. */
    @Test
    void keeperWithManyRequestsOfOneSharedPartIsNotFull() {
        List<BackendEntry> servers = servers(6);
        ServerName keeper = servers.get(0).server();
        caches.recordRead(keeper, prompt("a").sharedPartsHash(), SHARED, MEMORY);
        for (int i = 0; i < 40; i++) {
            loads.addLocal(keeper, ServerLoad.ofRequest(prompt("a"), 0));
        }
        assertEquals(keeper, choose(servers, prompt("a")).entry().server());
    }

    @Test
    void keeperWhoseMemoryIsFullOfRunningRequestsIsLeft() {
        List<BackendEntry> servers = servers(6);
        ServerName keeper = servers.get(0).server();
        caches.recordRead(keeper, prompt("a").sharedPartsHash(), SHARED, MEMORY);
        loads.addLocal(keeper, new ServerLoad(50, 0, 450_000));
        loads.addLocal(keeper, new ServerLoad(0, 20_000, 0));
        assertNotEquals(keeper, choose(servers, prompt("a")).entry().server());
    }

    @Test
    void failingServerIsLeft() {
        List<BackendEntry> servers = servers(2);
        ServerName keeper = servers.get(0).server();
        caches.recordRead(keeper, prompt("a").sharedPartsHash(), SHARED, MEMORY);
        for (int i = 0; i < 5; i++) {
            health.recordResponse(keeper, false, 0);
        }
        assertNotEquals(keeper, choose(servers, prompt("a")).entry().server());
    }

    /**
     * Replays prompts with 45 shared parts on six engines, each arriving when the one before it is read,
     * and compares with a choice at random, which reads nearly every shared part on every engine.
     */
    @Test
    void sharedPartsAreReadOnceInsteadOfOnEveryEngine() {
        List<BackendEntry> servers = servers(6);
        Random random = new Random(7);
        Set<String> readBySelector = new HashSet<>();
        Set<String> readAtRandom = new HashSet<>();
        Map<ServerName, Integer> perServer = new HashMap<>();
        for (int i = 0; i < 2_000; i++) {
            Prompt prompt = prompt("part-" + random.nextInt(45));
            ServerName chosen = choose(servers, prompt).entry().server();
            caches.recordRead(chosen, prompt.sharedPartsHash(), SHARED, MEMORY);
            readBySelector.add(chosen + " " + prompt.sharedPartsHash());
            readAtRandom.add(servers.get(random.nextInt(6)).server() + " " + prompt.sharedPartsHash());
            perServer.merge(chosen, 1, Integer::sum);
        }
        assertEquals(45, readBySelector.size());
        assertTrue(readAtRandom.size() > 5 * 45, "at random: " + readAtRandom.size());
        assertEquals(6, perServer.size());
    }

    private SelectedServer choose(List<BackendEntry> servers, Prompt prompt) {
        return selector.select(servers, prompt).orElseThrow();
    }

    private static Prompt prompt(String shared) {
        return new Prompt(List.of(new PromptPart(shared, SHARED), new PromptPart("own", OWN)), SHARED + OWN, 120);
    }

    private static List<BackendEntry> servers(int count) {
        List<BackendEntry> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new BackendEntry(
                    new ServerName("s" + i),
                    new ServiceName("service"),
                    "10.0.0." + (i + 1),
                    80,
                    ZONE,
                    64,
                    false,
                    Duration.ZERO,
                    1));
        }
        return servers;
    }
}
