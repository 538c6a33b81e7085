/** Fleet-wide usage accounting: usage reports, totals, weights and the bound on the fairness gap. */
package org.coltsfootquay.decision.fairness;
