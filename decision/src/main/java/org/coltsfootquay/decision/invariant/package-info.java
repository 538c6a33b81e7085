/** Run-time checks of the guarantees. */
package org.coltsfootquay.decision.invariant;
