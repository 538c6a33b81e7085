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

    /** Minimum weight of an observation in the factor of its engine: about the last 30 count. */
    private static final double STEADY_WEIGHT = 0.03;

    /** Observations that the factor counts as before the first one. */
    private static final int PRIOR_OBSERVATIONS = 2;

    /** Consecutive observations on the same side after which the speed of an engine has changed. */
    private static final int CHANGE_OBSERVATIONS = 4;

    /** Natural logarithm of the ratio of observation to estimate above which an observation is off: 60%. */
    private static final double OFF_LOG_RATIO = Math.log(1.6);

    /** Bound of a single logarithm, so that rare long delays behind unknown prompts of other routers barely count. */
    private static final double MAX_LOG_RATIO = Math.log(3);

    /** Weight of an observation in the mean factor of a service. */
    private static final double MEAN_FACTOR_WEIGHT = 0.05;

    /**
     * Observations of a service after which its line includes half of the mean factor. Earlier, the factors fit faster
     * than the line does.
     */
    private static final double ANCHOR_OBSERVATIONS = 200;

    /** Fraction of the distance to the mean factor that an engine keeps per second without an observation. */
    private static final double IDLE_KEPT_SHARE = 0.5;

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
            engine.observed = false;
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
        engine.service.followFactor(engine.logFactor);
        if (observation.waitingTokens() > observation.prefillTokens()) {
            // The waiting tokens are known less exactly than those of the request, which would flatten the line.
            return;
        }
        // The line describes the mean engine. Dividing by the factor alone would let the line rise without bound while
        // the factors fall, since only their product is observed.
        line.add(tokens, millis * Math.exp(engine.service.lineLogFactor() - engine.logFactor));
    }

    /**
     * Moves engines without an observation since the last call halfway to the estimate of their service; to be called
     * once a second.
     *
     * <p>Engines that seem slow get few requests. They would otherwise keep a wrong estimate, or that of a time in
     * which they were slow, without end.
     */
    public void forgetIdleEngines() {
        engines.values().forEach(Engine::forgetIfIdle);
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

        /** Moving average of the logarithms of its engines' factors; holds for engines without observations. */
        private double meanLogFactor;

        private long observations;

        private void followFactor(double logFactor) {
            observations++;
            meanLogFactor += MEAN_FACTOR_WEIGHT * (logFactor - meanLogFactor);
        }

        /** Returns the logarithm of the factor that the line includes; grows to the mean factor with observations. */
        private double lineLogFactor() {
            return meanLogFactor * observations / (observations + ANCHOR_OBSERVATIONS);
        }
    }

    private static final class Engine {

        private Service service;
        private double logFactor;
        private double factor = 1;
        private boolean observed;
        private boolean observedRecently;
        private int consecutiveOff;

        /** Sum of the factors that the consecutive observations which are off would have fitted, as logarithms. */
        private double offLogFactors;

        private int count;

        private Engine(Service service) {
            this.service = service;
        }

        private double factor() {
            return observed ? factor : Math.exp(service.meanLogFactor);
        }

        private void forgetIfIdle() {
            if (observed && !observedRecently) {
                setLogFactor(service.meanLogFactor + IDLE_KEPT_SHARE * (logFactor - service.meanLogFactor));
            }
            observedRecently = false;
        }

        private void correct(double logRatio) {
            observedRecently = true;
            if (!observed) {
                observed = true;
                logFactor = service.meanLogFactor;
            }
            int side = logRatio > OFF_LOG_RATIO ? 1 : logRatio < -OFF_LOG_RATIO ? -1 : 0;
            if (side == 0 || Integer.signum(consecutiveOff) != side) {
                consecutiveOff = 0;
                offLogFactors = 0;
            }
            consecutiveOff += side;
            offLogFactors += side == 0 ? 0 : logFactor + logRatio;
            if (Math.abs(consecutiveOff) >= CHANGE_OBSERVATIONS) {
                // The speed has changed, so only the observations since then count.
                count = CHANGE_OBSERVATIONS;
                setLogFactor(offLogFactors / CHANGE_OBSERVATIONS);
                consecutiveOff = 0;
                offLogFactors = 0;
            } else {
                update(Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio)));
            }
        }

        private void update(double logRatio) {
            count++;
            setLogFactor(logFactor + Math.max(STEADY_WEIGHT, 1.0 / (count + PRIOR_OBSERVATIONS)) * logRatio);
        }

        private void setLogFactor(double value) {
            logFactor = Math.max(-MAX_LOG_FACTOR, Math.min(MAX_LOG_FACTOR, value));
            factor = Math.exp(logFactor);
        }
    }
}
