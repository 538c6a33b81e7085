package org.coltsfootquay.decision.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.coltsfootquay.decision.common.ServerName;
import org.junit.jupiter.api.Test;

/** Guards against a backlog that does not drain, or that counts the prompts of one router only. */
final class PrefillBacklogTest {

    private static final ServerName ENGINE = new ServerName("engine");
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final EngineLatencyModel model = new EngineLatencyModel();
    private final PrefillBacklog backlog = new PrefillBacklog(model);

    @Test
    void tokensDrainAtTheSpeedOfTheEngine() {
        backlog.addLocal(ENGINE, 1000, 0);
        assertEquals(1000 - 10 / model.millisPerToken(ENGINE), backlog.tokens(ENGINE, 10 * MILLI), 1e-6);
    }

    @Test
    void drainedBacklogIsNotNegative() {
        backlog.addLocal(ENGINE, 1000, 0);
        assertEquals(0, backlog.tokens(ENGINE, 1000 * MILLI));
    }

    @Test
    void tokensOfOtherRoutersCount() {
        backlog.addLocal(ENGINE, 1000, 0);
        backlog.addPeer(ENGINE, 500, 0);
        assertEquals(1500, backlog.tokens(ENGINE, 0));
    }

    @Test
    void onlyOwnTokensAreAnnouncedAndOnlyOnce() {
        backlog.addLocal(ENGINE, 1000, 0);
        backlog.addLocal(ENGINE, 200, 0);
        backlog.addPeer(ENGINE, 500, 0);
        assertEquals(Map.of(ENGINE, 1200L), backlog.takeSent());
        assertEquals(Map.of(), backlog.takeSent());
    }

    @Test
    void restartedEngineHasNoBacklog() {
        backlog.addLocal(ENGINE, 1000, 0);
        backlog.removeServer(ENGINE);
        assertEquals(0, backlog.tokens(ENGINE, 0));
    }
}
