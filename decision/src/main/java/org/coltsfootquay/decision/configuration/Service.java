package org.coltsfootquay.decision.configuration;

import org.coltsfootquay.decision.common.ServiceName;

/**
 * Service that backend servers execute.
 *
 * @param name name; the {@code model} field of a model call names it
 * @param kind kind
 */
public record Service(ServiceName name, ServiceKind kind) {}
