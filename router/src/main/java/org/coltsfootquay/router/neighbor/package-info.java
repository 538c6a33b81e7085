/** Beacons between routers, and copies of tables for routers that the store does not reach. */
package org.coltsfootquay.router.neighbor;
