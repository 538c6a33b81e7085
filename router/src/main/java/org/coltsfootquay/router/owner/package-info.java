/** Owner side of a router: one thread that runs the dispatchers of all services. */
package org.coltsfootquay.router.owner;
