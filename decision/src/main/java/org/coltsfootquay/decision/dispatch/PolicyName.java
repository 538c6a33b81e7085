package org.coltsfootquay.decision.dispatch;

import java.util.Locale;

/** Scheduling policies of a dispatcher. */
public enum PolicyName {
    /** Fair queueing with weights from fleet totals; reserved capacity first, then the earliest eligible deadline. */
    FLEET,
    /** Fair queueing based only on the counters of this router. */
    PER_ROUTER,
    /** First in, first out, by arrival at the owner. */
    FIFO;

    /**
     * Returns the policy with a given label.
     *
     * @param label {@code fleet}, {@code per-router} or {@code fifo}
     * @return policy
     * @throws IllegalArgumentException if no policy has this label
     */
    public static PolicyName ofLabel(String label) {
        for (PolicyName name : values()) {
            if (name.label().equals(label)) {
                return name;
            }
        }
        throw new IllegalArgumentException("unknown policy " + label + "; use fleet, per-router or fifo");
    }

    /**
     * Returns the label used in commands and reports.
     *
     * @return lower-case name with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
