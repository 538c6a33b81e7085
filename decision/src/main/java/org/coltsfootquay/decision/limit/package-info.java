/** Concurrency limit of a server and the cold-start ramp. */
package org.coltsfootquay.decision.limit;
