package org.coltsfootquay.decision.waiting;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Decides whether this router may take a free place at a server for which other routers have requests too; not
 * thread-safe.
 *
 * <p>Handles a server that becomes free while requests wait at many routers, whose views of it are older than the time
 * in which they react: without a draw, each of them sends its first request at once. Each router draws with a chance in
 * proportion to what waits at it, so that about as many requests are sent as there is room for. While a place stays
 * free the chance doubles with each draw, so that it is taken soon even if the others wait for other servers.
 */
public final class PlaceDraw {

    /** Interval of draws; the time in which other routers learn of a prompt. */
    static final Duration INTERVAL = Duration.ofMillis(30);

    /** Draws without an interest in the server after which the chance starts anew. */
    private static final int FORGOTTEN_INTERVALS = 3;

    /** Time for which the draws of a server are retained; they are forgotten long before. */
    private static final Duration RETENTION = Duration.ofSeconds(5);

    /** Maximum number of times that the chance doubles; above any number of routers. */
    private static final int MAX_DOUBLINGS = 10;

    /** Maximum of the places that are drawn for at once. */
    private static final double MAX_PLACES = 64;

    private final RandomGenerator random;
    private final Map<ServerName, Draw> draws = new HashMap<>();
    private long prunedNanos;

    /**
     * Creates a decision.
     *
     * @param random source of randomness
     */
    public PlaceDraw(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns whether this router may send a request to a server that has room; each place is given once.
     *
     * @param server server
     * @param ownTokens tokens that wait at this router for the server
     * @param otherTokens tokens that wait at the other routers for it
     * @param places estimated number of requests for which the server has room
     * @param nowNanos current time
     * @return true if the request may be sent
     */
    public boolean tryTake(ServerName server, double ownTokens, double otherTokens, double places, long nowNanos) {
        if (otherTokens <= 0) {
            return true;
        }
        if (nowNanos - prunedNanos > RETENTION.toNanos()) {
            prunedNanos = nowNanos;
            draws.values().removeIf(old -> nowNanos - old.nextNanos > RETENTION.toNanos());
        }
        Draw draw = draws.computeIfAbsent(server, name -> new Draw(nowNanos));
        if (nowNanos - draw.nextNanos >= 0) {
            boolean forgotten = nowNanos - draw.nextNanos > FORGOTTEN_INTERVALS * INTERVAL.toNanos();
            draw.lost = forgotten ? 0 : draw.lost;
            double share = ownTokens / (ownTokens + otherTokens);
            double chance = share * Math.min(MAX_PLACES, Math.max(1, places)) * (1 << draw.lost);
            draw.won = (int) (Math.min(MAX_PLACES, chance) + random.nextDouble());
            draw.lost = draw.won > 0 ? 0 : Math.min(MAX_DOUBLINGS, draw.lost + 1);
            draw.nextNanos = nowNanos + INTERVAL.toNanos();
        }
        if (draw.won == 0) {
            return false;
        }
        draw.won--;
        return true;
    }

    private static final class Draw {
        private long nextNanos;
        private int lost;
        private int won;

        private Draw(long nextNanos) {
            this.nextNanos = nextNanos;
        }
    }
}
