/** Per-service queue at an owner: events in, actions out. */
package org.coltsfootquay.decision.dispatch;
