package org.coltsfootquay.decision.notice;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Record of what backend servers have said of themselves; not thread-safe.
 *
 * <p>A server that says that it leaves gets no further request until it restarts. A server that asks for a pause gets
 * none until the pause ends, and then a number that grows with the requests that it serves. Of overlapping pauses the
 * one that ends last counts: a server states a shorter one only in response to a request that was sent before the
 * longer one was known. Notices belong to one incarnation of a server and outlast its registration for a while, since
 * a registration also disappears and returns in an outage of the store.
 */
public final class ServerNotices {

    /** Time for which a notice is kept after its server is no longer registered; outages of the store are shorter. */
    public static final Duration RETENTION_TIME = Duration.ofMinutes(1);

    /** Time after a pause in which requests are limited; several times the usual time to the first event. */
    private static final Duration RETURN_TIME = Duration.ofSeconds(2);

    /** Time after which a returning server gets one more request although it has not served the last one yet. */
    private static final Duration RETURN_INTERVAL = Duration.ofMillis(500);

    /** Additional requests that a returning server gets for each one that it has served. */
    private static final int REQUESTS_PER_SERVED = 2;

    /** Maximum number of notices; above the number of servers that one fleet uses. */
    private static final int MAX_NOTICES = 8192;

    /** Notices by server, least recently added first. */
    private final Map<ServerName, Notice> notices = new LinkedHashMap<>();

    /** Creates a record without notices. */
    public ServerNotices() {
        // Notices are added as servers respond.
    }

    /**
     * Records that a server leaves.
     *
     * @param server server
     * @param nowNanos current time
     * @return false if that was already known, or the server has restarted since
     */
    public boolean recordLeaving(BackendEntry server, long nowNanos) {
        if (isEarlier(server)) {
            return false;
        }
        Notice notice = noticeFor(server, nowNanos);
        boolean known = notice.leaving;
        notice.leaving = true;
        return !known;
    }

    /**
     * Records that a server asks for no requests.
     *
     * @param server server
     * @param pause time from now on
     * @param nowNanos current time
     * @return false if a pause that ends later was already known, or the server has restarted since
     */
    public boolean recordPause(BackendEntry server, Duration pause, long nowNanos) {
        if (pause.isZero() || isEarlier(server)) {
            return false;
        }
        Notice notice = noticeFor(server, nowNanos);
        long endNanos = nowNanos + pause.toNanos();
        if (notice.paused && endNanos - notice.pauseEndNanos <= 0) {
            return false;
        }
        notice.paused = true;
        notice.pauseEndNanos = endNanos;
        notice.sentSincePause = 0;
        notice.servedSincePause = 0;
        return true;
    }

    /**
     * Returns whether a server may get a request.
     *
     * @param server server
     * @param nowNanos current time
     * @return false if the server leaves, pauses, or has just paused and not yet served enough requests
     */
    public boolean maySend(BackendEntry server, long nowNanos) {
        Notice notice = find(server);
        return notice == null || (!notice.leaving && notice.maySend(nowNanos));
    }

    /**
     * Records that a request is sent to a server.
     *
     * @param server server
     * @param nowNanos current time
     */
    public void recordSent(BackendEntry server, long nowNanos) {
        Notice notice = find(server);
        if (notice != null) {
            notice.sentSincePause++;
            notice.lastSentNanos = nowNanos;
        }
    }

    /**
     * Records that a server has served a request or begun to. During a pause it does not count, since the request was
     * sent before.
     *
     * @param server server
     * @param nowNanos current time
     */
    public void recordServed(BackendEntry server, long nowNanos) {
        Notice notice = find(server);
        if (notice != null && !notice.isPaused(nowNanos)) {
            notice.servedSincePause++;
        }
    }

    /**
     * Returns whether a server has said that it leaves.
     *
     * @param server server
     * @return true if it has in its current incarnation
     */
    public boolean isLeaving(BackendEntry server) {
        Notice notice = find(server);
        return notice != null && notice.leaving;
    }

    /**
     * Returns the time until the pause of a server ends.
     *
     * @param server server
     * @param nowNanos current time
     * @return time, {@link Duration#ZERO} if the server does not pause
     */
    public Duration remainingPause(BackendEntry server, long nowNanos) {
        Notice notice = find(server);
        return notice == null || !notice.isPaused(nowNanos)
                ? Duration.ZERO
                : Duration.ofNanos(notice.pauseEndNanos - nowNanos);
    }

    /**
     * Removes the notices of servers that are no longer registered, once they are old.
     *
     * @param registered registered servers
     * @param nowNanos current time
     */
    public void removeUnregistered(Set<ServerName> registered, long nowNanos) {
        Iterator<Map.Entry<ServerName, Notice>> entries = notices.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<ServerName, Notice> entry = entries.next();
            if (registered.contains(entry.getKey())) {
                entry.getValue().registeredNanos = nowNanos;
            } else if (nowNanos - entry.getValue().registeredNanos > RETENTION_TIME.toNanos()) {
                entries.remove();
            }
        }
    }

    /**
     * Returns the number of servers with a notice.
     *
     * @return number
     */
    public int size() {
        return notices.size();
    }

    private Notice find(BackendEntry server) {
        Notice notice = notices.get(server.server());
        return notice != null && notice.startedMillis == server.startedMillis() ? notice : null;
    }

    /** Returns whether a notice of a later incarnation is known. */
    private boolean isEarlier(BackendEntry server) {
        Notice notice = notices.get(server.server());
        return notice != null && server.startedMillis() < notice.startedMillis;
    }

    private Notice noticeFor(BackendEntry server, long nowNanos) {
        Notice notice = find(server);
        if (notice == null) {
            notice = new Notice(server.startedMillis(), nowNanos);
            notices.remove(server.server());
            notices.put(server.server(), notice);
            if (notices.size() > MAX_NOTICES) {
                notices.remove(notices.keySet().iterator().next());
            }
        }
        return notice;
    }

    private static final class Notice {

        private final long startedMillis;
        private boolean leaving;
        private boolean paused;
        private long pauseEndNanos;
        private int sentSincePause;
        private int servedSincePause;
        private long lastSentNanos;
        private long registeredNanos;

        private Notice(long startedMillis, long nowNanos) {
            this.startedMillis = startedMillis;
            this.registeredNanos = nowNanos;
        }

        private boolean isPaused(long nowNanos) {
            return paused && nowNanos - pauseEndNanos < 0;
        }

        private boolean maySend(long nowNanos) {
            if (!paused || nowNanos - pauseEndNanos >= RETURN_TIME.toNanos()) {
                return true;
            }
            return !isPaused(nowNanos)
                    && (sentSincePause <= REQUESTS_PER_SERVED * servedSincePause
                            || nowNanos - lastSentNanos >= RETURN_INTERVAL.toNanos());
        }
    }
}
