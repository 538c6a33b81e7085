package org.coltsfootquay.router.entry;

import java.util.function.LongSupplier;
import org.coltsfootquay.decision.request.RequestEnvironment;
import org.coltsfootquay.router.backend.BackendClient;
import org.coltsfootquay.router.backend.ServerControlClient;
import org.coltsfootquay.router.metrics.RouterMetrics;

/**
 * Dependencies shared by all flows of an entry router.
 *
 * @param environment environment of the decision library
 * @param client client of backend servers
 * @param controlClient sender of short control requests to backend servers
 * @param owners sends frames to owners
 * @param records access to the idempotency records of non-idempotent requests
 * @param metrics metrics of the router
 * @param clock monotonic clock in nanoseconds
 */
public record EntryContext(
        RequestEnvironment environment,
        BackendClient client,
        ServerControlClient controlClient,
        OwnerPort owners,
        RecordPort records,
        RouterMetrics metrics,
        LongSupplier clock) {}
