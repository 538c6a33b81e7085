package org.coltsfootquay.decision.configuration;

/** State that operators give a zone or a backend server. */
public enum AdministrativeState {
    /** New work is allowed. */
    IN_SERVICE,
    /** No new work; work in flight runs to its end. */
    LEAVING
}
