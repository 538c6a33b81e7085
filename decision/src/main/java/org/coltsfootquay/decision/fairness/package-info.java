/** Service counters over the fleet: reports, totals, weights and the bound on the gap. */
package org.coltsfootquay.decision.fairness;
