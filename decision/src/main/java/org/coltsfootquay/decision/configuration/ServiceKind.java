package org.coltsfootquay.decision.configuration;

/** Kinds of services. */
public enum ServiceKind {
    /** Model engines with continuous batching; service is counted in token units. */
    MODEL,
    /** Application servers with plain HTTP; service is counted in milliseconds of server time. */
    APPLICATION
}
