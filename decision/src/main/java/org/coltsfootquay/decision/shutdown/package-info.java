/** Planned stop of a router. */
package org.coltsfootquay.decision.shutdown;
