/** Forwards requests of callers to backend servers and relays the answers; runs on one event loop. */
package org.coltsfootquay.router.forward;
