package org.coltsfootquay.decision.invariant;

/** Guarantees of the design, numbered as in its section 1.1. */
public enum Guarantee {
    /** Bounded difference of service between backlogged workspaces. */
    G1,
    /** No workspace starves. */
    G2,
    /** A backend server receives no more work than it can handle. */
    G3,
    /** No new work for a zone that was taken out, and none from a router that is cut off. */
    G4,
    /** A caller receives the whole answer to its own request. */
    G5,
    /** A refusal that says {@code not_run} is true. */
    G6,
    /** A non-idempotent request runs at most once. */
    G7,
    /** No new work for a backend server that leaves. */
    G8,
    /** A planned stop interrupts no request. */
    G9,
    /** Configuration versions never revert; a server has at most one whole holder. */
    G10,
    /** Capacity is not idle while work waits. */
    G11,
    /** Reserved capacity is available within its target. */
    G12
}
