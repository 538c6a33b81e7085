package org.coltsfootquay.decision.configuration;

/** Kinds of services. */
public enum ServiceKind {
    /** Model engines with continuous batching; usage is measured in token units. */
    MODEL,
    /** Application servers with plain HTTP; usage is measured in milliseconds of server time. */
    APPLICATION
}
