/** Records of non-idempotent requests. */
package org.coltsfootquay.decision.idempotency;
