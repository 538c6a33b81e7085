package org.coltsfootquay.decision.configuration;

import org.coltsfootquay.decision.common.ServiceName;

/**
 * Service that backend servers run.
 *
 * @param name name; model calls give it in their {@code model} field
 * @param kind kind of the service
 */
public record Service(ServiceName name, ServiceKind kind) {}
