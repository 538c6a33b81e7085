/** Idempotency records, which make non-idempotent requests run at most once. */
package org.coltsfootquay.decision.idempotency;
