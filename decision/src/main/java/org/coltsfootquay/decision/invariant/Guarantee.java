package org.coltsfootquay.decision.invariant;

/** Guarantees of the design, numbered as in its section 1.1. */
public enum Guarantee {
    /** The difference in service between backlogged workspaces is bounded. */
    G1,
    /** No workspace starves. */
    G2,
    /** A backend server receives no more work than its capacity. */
    G3,
    /** No new work is granted in a leaving zone or by a router that is isolated from the store and its peers. */
    G4,
    /** A caller receives the complete response to its own request. */
    G5,
    /** A refusal that says {@code not_run} is true. */
    G6,
    /** A non-idempotent request runs at most once. */
    G7,
    /** No new work is granted on a leaving backend server. */
    G8,
    /** A graceful shutdown interrupts no request. */
    G9,
    /** Configuration versions never decrease; at most one router at a time holds a server under a valid lease. */
    G10,
    /** Capacity is not idle while requests wait. */
    G11,
    /** Reserved capacity is available within its target. */
    G12
}
