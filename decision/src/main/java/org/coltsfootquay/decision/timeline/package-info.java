/** Decisions recorded as events whose identifiers join over processes. */
package org.coltsfootquay.decision.timeline;
