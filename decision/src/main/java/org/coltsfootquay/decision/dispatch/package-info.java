/** Event-driven request queue and scheduler that an owner runs for each service. */
package org.coltsfootquay.decision.dispatch;
