/** Wiring of a router process: threads, transports, controllers, dispatchers and flows. */
package org.coltsfootquay.router.daemon;
