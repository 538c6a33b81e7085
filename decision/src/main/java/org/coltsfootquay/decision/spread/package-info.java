/** Spreading of callers over routers: which addresses a caller is given, and when a router turns callers away. */
package org.coltsfootquay.decision.spread;
