package org.coltsfootquay.decision.dispatch;

import java.util.Locale;

/** Order policies that a dispatcher can use. */
public enum PolicyName {
    /** Weighted fair queueing with weights from fleet totals; reserved capacity first; earliest eligible deadline. */
    FLEET,
    /** Fair queueing with the counters of this router only. */
    PER_ROUTER,
    /** Order of arrival. */
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
     * Returns the name as it stands in commands and reports.
     *
     * @return lower-case name with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
