package org.coltsfootquay.decision.invariant;

/** Guarantees of the design page that are checked while the program runs. */
public enum Guarantee {
    /** The difference in service of two backlogged workspaces stays within the bound. */
    G1,
    /** No workspace starves. */
    G2,
    /** No server is given more work than it can handle. */
    G3,
    /** No new work goes to a zone that was taken out of service. */
    G4,
    /** A caller receives the whole answer to its own request. */
    G5,
    /** A refusal that says {@code not_run} is true. */
    G6,
    /** A non-idempotent request runs at most once. */
    G7,
    /** A leaving server receives no new work and no request in flight is interrupted. */
    G8,
    /** A planned stop interrupts no request. */
    G9,
    /** Configuration versions only advance. */
    G10,
    /** Capacity is not idle while admissible work waits. */
    G11,
    /** Reserved capacity returns within the target of its class. */
    G12
}
