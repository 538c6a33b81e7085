/** Simulated fleet of real controllers over a store in memory, with faults, for tests and soak runs. */
package org.coltsfootquay.decision.simulation;
