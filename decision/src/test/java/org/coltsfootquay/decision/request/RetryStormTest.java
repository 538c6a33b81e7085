package org.coltsfootquay.decision.request;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.PriorityQueue;
import java.util.Random;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.request.RequestSimulation.Kind;
import org.coltsfootquay.decision.retry.RetryBudget;
import org.coltsfootquay.decision.retry.RetryPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries that multiply the load while half of the servers, or all of them, fail. */
final class RetryStormTest {

    private static final long SECOND = 1_000_000_000L;
    private static final int SERVERS = 8;
    private static final int REQUESTS_PER_SECOND = 200;
    private static final int SECONDS = 20;

    @ParameterizedTest
    @CsvSource({"0.5", "1.0"})
    void retriesStayWithinTheBudget(double failingFraction) {
        long sends = sends(new RetryBudget(5), failingFraction);
        long unlimited = sends(new UnlimitedRetryPolicy(), failingFraction);
        long requests = (long) REQUESTS_PER_SECOND * SECONDS;
        System.out.println("failing fraction " + failingFraction + ": " + requests + " requests, " + sends
                + " sends; without a" + " budget " + unlimited);
        assertTrue(sends <= 1.1 * requests + SECONDS + 1, "sends: " + sends + " for " + requests + " requests");
        assertTrue(unlimited > 1.3 * requests, "retries without a budget do not multiply the load: " + unlimited);
    }

    private static long sends(RetryPolicy policy, double failingFraction) {
        RequestSimulation simulation = new RequestSimulation(Kind.APPLICATION_READ, FlowAdapter.Factory.real(), 1);
        RequestEnvironment environment = new RetryPolicyEnvironment(simulation.firstRouter, policy);
        FakeCaller template = simulation.submitRequest(simulation.secondRouter);
        Random random = new Random(9);
        long sends = 0;
        PriorityQueue<ScheduledEvent> due = new PriorityQueue<>();
        for (int i = 0; i < REQUESTS_PER_SECOND * SECONDS; i++) {
            RequestFlow flow = new RequestFlow(template.request, environment);
            due.add(new ScheduledEvent(i * SECOND / REQUESTS_PER_SECOND, i, flow, new RequestEvent.Admitted()));
        }
        while (!due.isEmpty()) {
            ScheduledEvent next = due.poll();
            for (RequestAction action : next.flow.handle(next.event, next.at)) {
                if (action instanceof RequestAction.EnqueueAtOwner enqueue) {
                    // Owners are not informed of failures and grant any of the servers.
                    ServerName server = new ServerName("s" + (1 + random.nextInt(3)));
                    due.add(next.followedBy(granted(enqueue.attempt(), enqueue.owner(), server)));
                } else if (action instanceof RequestAction.SendToServer send) {
                    sends++;
                    boolean fails = random.nextInt(SERVERS) < failingFraction * SERVERS;
                    due.add(next.followedBy(
                            fails
                                    ? new RequestEvent.ConnectFailed(send.attempt())
                                    : new RequestEvent.SendStarted(send.attempt())));
                } else if (action instanceof RequestAction.ScheduleTimer timer) {
                    due.add(new ScheduledEvent(timer.atNanos(), next.order, next.flow, new RequestEvent.TimerFired()));
                } else if (action instanceof RequestAction.ReportStarted started) {
                    due.add(next.followedBy(new RequestEvent.HeadReceived(started.attempt(), 200, java.util.Map.of())));
                    due.add(next.followedBy(new RequestEvent.ResponseEnded(started.attempt(), 0, "")));
                }
            }
        }
        return sends;
    }

    private static RequestEvent granted(RequestAttempt attempt, RouterId owner, ServerName server) {
        return new RequestEvent.OwnerGranted(
                owner, attempt, server, "127.0.0.1:1", 1, Duration.ofMillis(500), Duration.ZERO);
    }

    private record ScheduledEvent(long at, int order, RequestFlow flow, RequestEvent event)
            implements Comparable<ScheduledEvent> {

        ScheduledEvent followedBy(RequestEvent next) {
            return new ScheduledEvent(at + 1_000_000, order, flow, next);
        }

        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Integer.compare(order, other.order);
        }
    }

    /** Baseline policy without a retry budget. */
    private static final class UnlimitedRetryPolicy implements RetryPolicy {

        @Override
        public void recordRequest(ServiceName service, long nowNanos) {}

        @Override
        public long tryRetry(ServiceName service, int retry, long deadlineNanos, long nowNanos) {
            return 50_000_000L;
        }
    }

    /** Environment of the simulation with another retry policy. */
    private static final class RetryPolicyEnvironment extends DelegatingEnvironment {

        private final RetryPolicy policy;

        RetryPolicyEnvironment(RequestEnvironment inner, RetryPolicy policy) {
            super(inner);
            this.policy = policy;
        }

        @Override
        public RetryPolicy retryPolicy() {
            return policy;
        }

        @Override
        public RequestObserver observer() {
            return RequestObserver.NONE;
        }
    }
}
