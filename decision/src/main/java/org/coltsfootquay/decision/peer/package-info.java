/** Peer routers as observed through their beacons: which are alive, ready, or ahead of this router's state. */
package org.coltsfootquay.decision.peer;
