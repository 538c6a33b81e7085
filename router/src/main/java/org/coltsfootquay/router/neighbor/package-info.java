/** Transport of beacons between routers, and of table copies to routers that cannot reach the store. */
package org.coltsfootquay.router.neighbor;
