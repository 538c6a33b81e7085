/** Forwards requests of callers to backend servers and relays the responses; runs on one event loop. */
package org.coltsfootquay.router.forward;
