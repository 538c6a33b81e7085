/** Other routers as this router hears them: who is alive, ready, and knows a newer state. */
package org.coltsfootquay.decision.peer;
