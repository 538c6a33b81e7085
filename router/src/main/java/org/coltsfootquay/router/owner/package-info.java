/** Owner side of a router: runs the dispatchers of all services on one thread. */
package org.coltsfootquay.router.owner;
