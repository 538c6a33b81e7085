package org.coltsfootquay.decision.latency;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Prompt tokens that wait for prefill at each engine, sent by this router and its peers; not thread-safe.
 *
 * <p>A prompt is prefilled long before its first event arrives, so counting it until then would overstate the wait.
 * The backlog therefore falls with time, at the estimated speed of its engine.
 */
public final class PrefillBacklog {

    private static final double NANOS_PER_MILLI = 1e6;

    private final EngineLatencyModel model;
    private final Map<ServerName, Backlog> backlogs = new HashMap<>();
    private final Map<ServerName, Long> sent = new TreeMap<>();

    /**
     * Creates an empty backlog.
     *
     * @param model speeds of engines
     */
    public PrefillBacklog(EngineLatencyModel model) {
        this.model = ArgumentUtils.requireValue(model, "model");
    }

    /**
     * Records that this router sends a prompt.
     *
     * @param server engine
     * @param tokens tokens that the engine has to prefill
     * @param nowNanos current time
     */
    public void addLocal(ServerName server, long tokens, long nowNanos) {
        add(server, tokens, nowNanos);
        sent.merge(server, tokens, Long::sum);
    }

    /**
     * Records that another router sent prompts a moment ago.
     *
     * @param server engine
     * @param tokens tokens that the engine has to prefill
     * @param nowNanos current time
     */
    public void addPeer(ServerName server, long tokens, long nowNanos) {
        add(server, tokens, nowNanos);
    }

    /**
     * Returns the tokens that wait for prefill.
     *
     * @param server engine
     * @param nowNanos current time
     * @return tokens, not negative
     */
    public double tokens(ServerName server, long nowNanos) {
        Backlog backlog = backlogs.get(server);
        return backlog == null ? 0 : backlog.at(nowNanos, model.millisPerToken(server));
    }

    /**
     * Returns the tokens that this router has sent since the last call.
     *
     * @return tokens by engine
     */
    public Map<ServerName, Long> takeSent() {
        Map<ServerName, Long> taken = new TreeMap<>(sent);
        sent.clear();
        return taken;
    }

    /**
     * Removes the backlog of an engine.
     *
     * @param server engine that has restarted or is gone
     */
    public void removeServer(ServerName server) {
        backlogs.remove(server);
    }

    private void add(ServerName server, long tokens, long nowNanos) {
        ArgumentUtils.requireNonNegative(tokens, "tokens");
        Backlog backlog = backlogs.computeIfAbsent(server, name -> new Backlog());
        backlog.tokens = backlog.at(nowNanos, model.millisPerToken(server)) + tokens;
        backlog.atNanos = nowNanos;
    }

    private static final class Backlog {

        private double tokens;
        private long atNanos;

        private double at(long nowNanos, double millisPerToken) {
            return Math.max(0, tokens - (nowNanos - atNanos) / NANOS_PER_MILLI / millisPerToken);
        }
    }
}
