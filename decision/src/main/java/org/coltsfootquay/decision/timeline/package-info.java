/** Decisions recorded as events that share identifiers across processes. */
package org.coltsfootquay.decision.timeline;
