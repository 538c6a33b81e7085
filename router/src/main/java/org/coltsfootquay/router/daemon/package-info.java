/** Assembly of a router: threads, transports, controllers, dispatchers and request flows. */
package org.coltsfootquay.router.daemon;
