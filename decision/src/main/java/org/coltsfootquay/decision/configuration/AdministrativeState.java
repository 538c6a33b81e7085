package org.coltsfootquay.decision.configuration;

/** State of a zone or a backend server, set by operators. */
public enum AdministrativeState {
    /** New work is allowed. */
    IN_SERVICE,
    /** No new work is allowed; work in flight runs to completion. */
    LEAVING
}
