/** Exchange of state in a large fleet: which routers pass on updates, and in which order received ones apply. */
package org.coltsfootquay.decision.exchange;
