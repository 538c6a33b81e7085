/** Graceful shutdown of a router. */
package org.coltsfootquay.decision.shutdown;
