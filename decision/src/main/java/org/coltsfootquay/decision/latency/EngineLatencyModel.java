package org.coltsfootquay.decision.latency;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Estimates the time to the first event of model engines from the responses of all routers; not thread-safe.
 *
 * <p>An engine prefills prompts in order of arrival, so the time is a constant plus the time to prefill the tokens
 * ahead of the first event. The line of a service is fitted to the observations of all its engines; a factor for each
 * engine covers engines that are faster or slower than their service, or have become so a moment ago.
 */
public final class EngineLatencyModel {

    /** Weight of an observation in the factor of its engine while the factor fits. */
    private static final double STEADY_WEIGHT = 0.03;

    /** Weight of an observation after several consecutive ones on the same side: the speed has changed. */
    private static final double CHANGE_WEIGHT = 0.35;

    /** Consecutive observations on the same side after which the speed of an engine has changed. */
    private static final int CHANGE_OBSERVATIONS = 4;

    /** Natural logarithm of the ratio of observation to estimate above which an observation is off: 40%. */
    private static final double OFF_LOG_RATIO = Math.log(1.4);

    /** Bound of a factor and of its inverse. */
    private static final double MAX_FACTOR = 10;

    private static final double MAX_LOG_FACTOR = Math.log(MAX_FACTOR);

    /** Time from the first event to the end of a response before any observation, milliseconds. */
    private static final double DEFAULT_RUN_MILLIS = 3000;

    /** Weight of the latest response in the moving average of run times: about the last 20 count. */
    private static final double RUN_WEIGHT = 0.05;

    private final Map<ServerName, Engine> engines = new HashMap<>();
    private final Map<ServiceName, Service> services = new HashMap<>();

    /** Service of engines that are not assigned to one yet. */
    private final Service unassigned = new Service();

    /** Creates a model without observations. */
    public EngineLatencyModel() {
        // Services and engines are added as they are assigned or observed.
    }

    /**
     * Assigns an engine to its service, whose estimate holds until the engine has observations of its own.
     *
     * @param server engine
     * @param service service
     */
    public void assign(ServerName server, ServiceName service) {
        Service state = services.computeIfAbsent(service, name -> new Service());
        Engine engine = engine(server);
        if (engine.service != state) {
            engine.service = state;
            engine.logFactor = 0;
        }
    }

    /**
     * Returns the expected time to the first event.
     *
     * @param server engine
     * @param tokens tokens that it prefills until then
     * @return time in milliseconds
     */
    public double expectedMillis(ServerName server, double tokens) {
        Engine engine = engine(server);
        return engine.factor() * engine.service.line.millis(tokens);
    }

    /**
     * Returns the time to the first event that does not depend on the number of tokens.
     *
     * @param server engine
     * @return time in milliseconds
     */
    public double constantMillis(ServerName server) {
        return expectedMillis(server, 0);
    }

    /**
     * Returns the time to prefill one token.
     *
     * @param server engine
     * @return time in milliseconds, above zero
     */
    public double millisPerToken(ServerName server) {
        Engine engine = engine(server);
        return engine.factor() * engine.service.line.millisPerToken();
    }

    /**
     * Returns the mean time from the first event to the end of the responses of an engine's service.
     *
     * @param server engine
     * @return time in milliseconds
     */
    public double runMillis(ServerName server) {
        return engine(server).service.runMillis;
    }

    /**
     * Records the time to a first event, seen by this router or by another one.
     *
     * @param observation observation
     */
    public void record(FirstEventObservation observation) {
        ArgumentUtils.requireValue(observation, "observation");
        Engine engine = engine(observation.server());
        LatencyLine line = engine.service.line;
        double millis = Math.max(1, observation.latency().toMillis());
        double tokens = (double) observation.waitingTokens() + observation.prefillTokens();
        engine.correct(Math.log(millis / (engine.factor() * line.millis(tokens))));
        if (observation.waitingTokens() > observation.prefillTokens()) {
            // The waiting tokens are known less exactly than those of the request, which would flatten the line.
            return;
        }
        double before = line.millis(line.meanTokens());
        line.add(tokens, millis);
        double scale = Math.log(before / line.millis(line.meanTokens()));
        // The factors are relative to the line, so a moved line must not move the estimates of known engines.
        engines.values().stream()
                .filter(other -> other.service == engine.service && other.observed)
                .forEach(other -> other.shift(scale));
    }

    /**
     * Records the time from the first event to the end of a complete response.
     *
     * @param server engine
     * @param runTime time
     */
    public void recordRunTime(ServerName server, Duration runTime) {
        Service service = engine(server).service;
        service.runMillis += RUN_WEIGHT * (runTime.toMillis() - service.runMillis);
    }

    /**
     * Removes the observations of an engine.
     *
     * @param server engine that has restarted or is gone
     */
    public void removeServer(ServerName server) {
        engines.remove(server);
    }

    private Engine engine(ServerName server) {
        return engines.computeIfAbsent(server, name -> new Engine(unassigned));
    }

    private static final class Service {

        private final LatencyLine line = new LatencyLine();
        private double runMillis = DEFAULT_RUN_MILLIS;
    }

    private static final class Engine {

        private Service service;
        private double logFactor;
        private double factor = 1;
        private boolean observed;
        private int consecutiveOff;

        private Engine(Service service) {
            this.service = service;
        }

        private double factor() {
            return factor;
        }

        private void correct(double logRatio) {
            observed = true;
            int side = logRatio > OFF_LOG_RATIO ? 1 : logRatio < -OFF_LOG_RATIO ? -1 : 0;
            consecutiveOff = side != 0 && Integer.signum(consecutiveOff) == side ? consecutiveOff + side : side;
            boolean changed = Math.abs(consecutiveOff) >= CHANGE_OBSERVATIONS;
            shift((changed ? CHANGE_WEIGHT : STEADY_WEIGHT) * logRatio);
        }

        private void shift(double logChange) {
            logFactor = Math.max(-MAX_LOG_FACTOR, Math.min(MAX_LOG_FACTOR, logFactor + logChange));
            factor = Math.exp(logFactor);
        }
    }
}
